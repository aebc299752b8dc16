"""Tests of the stand-ins: each promise that other tests rely on.

Usage: standins_test.py FOLDER_OF_PROGRAMS
"""

import http.client
import json
import socket
import subprocess
import sys
import threading
import time
import unittest

PROGRAMS = ""


class Standin:
    """A running stand-in and calls to it."""

    def __init__(self, name, *flags):
        self.process = subprocess.Popen([f"{PROGRAMS}/{name}", *flags],
                                        stdout=subprocess.PIPE, text=True)
        self.port = int(self.process.stdout.readline().split()[-1])

    def stop(self):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()

    def call(self, method, path, body=None, headers=None):
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=20)
        try:
            text = body if isinstance(body, (str, type(None))) else json.dumps(body)
            connection.request(method, path, text, headers or {})
            answer = connection.getresponse()
            content = answer.read().decode()
        finally:
            connection.close()
        is_json = answer.headers.get("Content-Type") == "application/json"
        return answer.status, json.loads(content) if is_json else content

    def post(self, path, body, headers=None):
        return self.call("POST", path, body, headers)

    def log(self):
        return self.call("GET", "/v1/log")[1]


class StandinCase(unittest.TestCase):
    def start(self, name, *flags):
        standin = Standin(name, *flags)
        self.addCleanup(standin.stop)
        return standin

    def wait_until(self, condition):
        """Polls a condition; the limit only ends a test that has failed."""
        for _ in range(2000):
            if condition():
                return
            time.sleep(0.005)
        self.fail("the condition never held")


def in_background(function, results):
    def run():
        try:
            results.append(function())
        except (OSError, http.client.HTTPException) as failure:
            results.append(failure)
    thread = threading.Thread(target=run)
    thread.start()
    return thread


class TableTest(StandinCase):
    def commit(self, table, checks, writes, op="op"):
        return table.post("/v1/commit", {"op": op, "checks": checks, "writes": writes})

    def test_commit_row_made_again_refuses_old_version(self):
        table = self.start("table_service")
        _, made = self.commit(table, [{"key": "a", "version": 0}],
                              [{"key": "a", "value": "1"}])
        old = made["versions"][0]
        self.commit(table, [old], [{"key": "a", "value": None}])
        self.commit(table, [], [{"key": "a", "value": "2"}])
        status, answer = self.commit(table, [old], [{"key": "a", "value": "3"}])
        self.assertEqual(status, 409)
        self.assertEqual(answer["conflicts"][0]["key"], "a")
        self.assertEqual(table.log()["refusals"], 1)

    def test_commit_failed_check_writes_nothing(self):
        table = self.start("table_service")
        status, _ = self.commit(table, [{"key": "a", "version": 0}, {"key": "b", "version": 7}],
                                [{"key": "a", "value": "1"}])
        self.assertEqual(status, 409)
        self.assertEqual(table.post("/v1/read", {"keys": ["a"]})[1]["rows"][0]["version"], 0)

    def test_commit_lost_answer_takes_effect(self):
        table = self.start("table_service")
        table.post("/faults", {"lose_answers": 1})
        with self.assertRaises((http.client.HTTPException, OSError)):
            self.commit(table, [], [{"key": "a", "value": "1"}], "lost")
        row = table.post("/v1/read", {"keys": ["a"]})[1]["rows"][0]
        self.assertEqual((row["op"], row["value"]), ("lost", "1"))

    def test_commit_down_has_no_effect(self):
        table = self.start("table_service")
        table.post("/faults", {"down": True})
        self.assertEqual(self.commit(table, [], [{"key": "a", "value": "1"}])[0], 503)
        table.post("/faults", {"down": False})
        self.assertEqual(table.post("/v1/read", {"prefix": ""})[1]["rows"], [])

    def test_read_prefix_pages_after_key(self):
        table = self.start("table_service")
        self.commit(table, [], [{"key": key, "value": key} for key in ("a/1", "a/2", "a/3", "b")])
        rows = table.post("/v1/read", {"prefix": "a/", "after": "a/1", "limit": 1})[1]["rows"]
        self.assertEqual([row["key"] for row in rows], ["a/2"])


class ObjectStoreTest(StandinCase):
    def test_get_after_put_returns_bytes(self):
        store = self.start("object_store")
        self.assertEqual(store.call("GET", "/v1/objects/a/b")[0], 404)
        store.call("PUT", "/v1/objects/a/b", "content")
        self.assertEqual(store.call("GET", "/v1/objects/a/b"), (200, "content"))


class WeightStoreTest(StandinCase):
    def test_fetch_abandoned_frees_its_slot(self):
        store = self.start("weight_store", "--model_ms=3600000")
        caller = socket.create_connection(("127.0.0.1", store.port))
        caller.sendall(b"POST /v1/fetch HTTP/1.1\r\nHost: x\r\nContent-Length: 12\r\n\r\n"
                       b'{"name":"m"}')
        self.wait_until(lambda: store.log()["models"]["in_flight"] == 1)
        caller.close()
        self.wait_until(lambda: store.log()["models"]["in_flight"] == 0)
        self.assertEqual(store.log()["models"]["abandoned"], 1)

    def test_fetch_at_once_counts_highest_by_kind(self):
        store = self.start("weight_store", "--model_ms=400", "--model_starts_per_second=0")
        results = []
        threads = [in_background(lambda kind=kind: store.post(
            "/v1/fetch", {"name": "x", "bytes": 1, "kind": kind}), results)
            for kind in ("model", "model", "model", "adapter")]
        for thread in threads:
            thread.join()
        self.assertEqual([status for status, _ in results], [200] * 4)
        log = store.log()
        self.assertEqual(log["models"]["highest_in_flight"], 3)
        self.assertEqual(log["adapters"]["highest_in_flight"], 1)


class InstanceListTest(StandinCase):
    def test_instances_with_lag_shows_old_list(self):
        listing = self.start("instance_list", "--lag_ms=3600000")
        listing.post("/v1/register", {"id": "a", "state": "live"})
        self.assertEqual(listing.call("GET", "/v1/instances")[1]["instances"], [])
        self.assertEqual(listing.log()["instances"], 1)

    def test_register_gone_removes(self):
        listing = self.start("instance_list")
        listing.post("/v1/register", {"id": "a", "state": "live"})
        listing.post("/v1/register", {"id": "b", "state": "leaving"})
        listing.post("/v1/register", {"id": "a", "state": "gone"})
        shown = listing.call("GET", "/v1/instances")[1]["instances"]
        self.assertEqual([entry["id"] for entry in shown], ["b"])


class EngineTest(StandinCase):
    def order(self, engine, action="load", model="m", adapter="", size=10, fence=1):
        return engine.post("/v1/orders", {
            "order_id": f"{action}-{model}-{adapter}", "fence": fence, "action": action,
            "model": model, "version": "1", "adapter": adapter, "bytes": size, "role": ""})

    def chat(self, engine, tokens=3, stream=True, text="hello", **headers):
        return engine.post("/v1/chat/completions", {
            "model": "m", "stream": stream, "max_tokens": tokens,
            "messages": [{"role": "user", "content": text}]},
            {name.replace("_", "-"): value for name, value in headers.items()})

    @staticmethod
    def events(text):
        return [line[6:] for line in text.split("\n") if line.startswith("data: ")]

    def test_chat_not_loaded_does_not_run(self):
        engine = self.start("model_engine")
        status, answer = self.chat(engine)
        self.assertEqual((status, answer["ran"]), (409, "not-run"))
        self.assertEqual(engine.log()["executions"], {})

    def test_chat_stream_ends_with_usage_and_done(self):
        engine = self.start("model_engine", "--load_ms=1")
        self.order(engine)
        events = self.events(self.chat(engine, 3, X_Request_Id="r")[1])
        words = [json.loads(event)["choices"][0]["delta"].get("content", "")
                 for event in events[:-1]]
        self.assertEqual("".join(words), "t0 t1 t2 ")
        self.assertEqual(json.loads(events[-2])["usage"],
                         {"prompt_tokens": 2, "completion_tokens": 3, "total_tokens": 5})
        self.assertEqual(events[-1], "[DONE]")
        self.assertEqual(engine.log()["executions"], {"r": 1})

    def test_chat_resumed_skips_tokens(self):
        engine = self.start("model_engine", "--load_ms=1")
        self.order(engine)
        events = self.events(self.chat(engine, 4, X_Request_Id="r", X_Resume_Offset="3")[1])
        self.assertIn("t3 ", events[0])
        self.assertEqual(len(events), 3)
        self.assertEqual(engine.log()["resumes"], {"r": 1})

    def test_cancel_running_request_ends_it(self):
        engine = self.start("model_engine", "--load_ms=1", "--token_us=100000")
        self.order(engine)
        results = []
        thread = in_background(
            lambda: self.chat(engine, 100000, X_Request_Id="r"), results)
        self.wait_until(lambda: engine.log()["executions"])
        self.assertEqual(engine.call("DELETE", "/v1/requests/r")[0], 200)
        thread.join()
        self.assertIsInstance(results[0], http.client.IncompleteRead)
        self.assertEqual(engine.log()["cancels"], 1)

    def test_batch_full_runs_lower_priority_value_first(self):
        engine = self.start("model_engine", "--load_ms=1", "--batch=1", "--token_us=100000",
                            "--report_lag_ms=0")
        self.order(engine)
        results = []
        threads = [in_background(
            lambda: self.chat(engine, 100000, X_Request_Id="first"), results)]
        self.wait_until(lambda: engine.log()["executions"])
        for waiting, (name, priority) in enumerate((("late", "9"), ("early", "1")), 1):
            threads.append(in_background(lambda name=name, priority=priority: self.chat(
                engine, 100000, X_Request_Id=name, X_Priority=priority), results))
            self.wait_until(
                lambda: engine.call("GET", "/v1/report")[1]["waiting"] == waiting)
        engine.call("DELETE", "/v1/requests/first")
        self.wait_until(lambda: len(engine.log()["executions"]) == 2)
        self.assertIn("early", engine.log()["executions"])
        engine.post("/v1/crash", {})
        for thread in threads:
            thread.join()

    def test_crash_during_load_claims_nothing(self):
        engine = self.start("model_engine", "--load_ms=3600000", "--restart_ms=0")
        results = []
        thread = in_background(lambda: self.order(engine), results)
        self.wait_until(lambda: engine.log()["peak_bytes"] == 10)
        engine.post("/v1/crash", {})
        thread.join()
        self.assertIsInstance(results[0], (http.client.HTTPException, OSError))
        # The order's thread writes its record after the crash has closed the connection.
        self.wait_until(lambda: engine.log()["orders"])
        log = engine.log()
        self.assertEqual(log["orders"][0]["result"], "crashed")
        self.assertEqual(log["used_bytes"], 0)
        self.assertEqual(log["incarnation"], log["orders"][0]["incarnation"] + 1)

    def test_crash_during_fetch_frees_weight_store(self):
        store = self.start("weight_store", "--model_ms=3600000")
        engine = self.start("model_engine", f"--weight_store_port={store.port}")
        thread = in_background(lambda: self.order(engine), [])
        self.wait_until(lambda: store.log()["models"]["in_flight"] == 1)
        engine.post("/v1/crash", {})
        thread.join()
        self.wait_until(lambda: store.log()["models"]["abandoned"] == 1)

    def test_crash_text_ends_streams_of_others(self):
        engine = self.start("model_engine", "--load_ms=1", "--token_us=100000")
        self.order(engine)
        engine.post("/faults", {"crash_on": "poison"})
        results = []
        thread = in_background(lambda: self.chat(engine, 100000, X_Request_Id="a"), results)
        self.wait_until(lambda: engine.log()["executions"])
        with self.assertRaises((http.client.HTTPException, OSError)):
            self.chat(engine, text="poison", X_Request_Id="b")
        thread.join()
        self.assertIsInstance(results[0], http.client.IncompleteRead)
        self.assertEqual(engine.log()["crashes"], 1)

    def test_load_beyond_capacity_is_counted(self):
        for flag, result, used in (("--noaccept_overcommit", "no_memory", 10),
                                   ("--accept_overcommit", "done", 20)):
            engine = self.start("model_engine", "--load_ms=1", "--capacity_bytes=15", flag)
            self.order(engine)
            self.assertEqual(self.order(engine, model="n")[1]["result"], result)
            log = engine.log()
            self.assertEqual((log["overcommitting_loads"], log["peak_bytes"],
                              log["used_bytes"]), (1, 20, used))

    def test_order_old_fence_depends_on_flag(self):
        for flag, result in (("--check_fence", "stale_fence"), ("--nocheck_fence", "done")):
            engine = self.start("model_engine", "--load_ms=1", flag)
            self.order(engine, fence=2)
            self.assertEqual(self.order(engine, model="n", fence=1)[1]["result"], result)
            self.assertEqual(engine.log()["stale_orders"], 1)

    def test_order_repeated_and_adapter_results(self):
        engine = self.start("model_engine", "--load_ms=1")
        self.assertEqual(self.order(engine, "load_adapter", adapter="a")[1]["result"],
                         "not_loaded")
        self.assertEqual(self.order(engine)[1]["result"], "done")
        self.assertEqual(self.order(engine)[1]["result"], "already")
        self.assertEqual(self.order(engine, "load_adapter", adapter="a")[1]["result"], "done")
        self.assertEqual(self.order(engine, "unload")[1]["result"], "done")
        self.assertEqual(engine.log()["used_bytes"], 0)
        self.assertEqual(self.order(engine, "unload")[1]["result"], "not_loaded")

    def test_unload_waits_for_running_request(self):
        engine = self.start("model_engine", "--load_ms=1", "--token_us=100000")
        self.order(engine)
        results = []
        chat = in_background(lambda: self.chat(engine, 100000, X_Request_Id="r"), results)
        self.wait_until(lambda: engine.log()["executions"])
        unload = in_background(lambda: self.order(engine, "unload"), [])
        self.wait_until(lambda: self.chat(engine, 1)[0] == 409)
        self.assertEqual(engine.log()["used_bytes"], 10)
        engine.call("DELETE", "/v1/requests/r")
        chat.join()
        unload.join()
        self.assertEqual(engine.log()["used_bytes"], 0)

    def test_cache_events_skip_every_nth(self):
        engine = self.start("model_engine", "--load_ms=1", "--cache_event_gap=2",
                            "--cache_event_lag_ms=0")
        self.order(engine)
        for text in ("a", "b", "c"):
            self.chat(engine, 1, text=text)
        events = engine.call("GET", "/v1/cache-events?after=0")[1]["events"]
        self.assertEqual([event["sequence"] for event in events], [1, 3])

    def test_kv_exported_can_be_imported(self):
        engine = self.start("model_engine", "--load_ms=1")
        self.order(engine)
        self.chat(engine, 2, X_Request_Id="r")
        status, kv = engine.call("GET", "/v1/kv/r")
        self.assertEqual((status, kv["tokens"]), (200, 2))
        self.assertEqual(engine.post("/v1/kv/r", kv)[0], 200)
        self.assertEqual(engine.call("GET", "/v1/kv/unknown")[0], 404)

    def test_authorization_header_is_counted(self):
        engine = self.start("model_engine")
        self.chat(engine, 1, Authorization="Bearer key")
        self.assertEqual(engine.log()["authorization_headers"], 1)


class PlainServiceTest(StandinCase):
    def test_lost_answer_counts_execution(self):
        plain = self.start("plain_service")
        plain.post("/faults", {"lose_answers": 1})
        with self.assertRaises((http.client.HTTPException, OSError)):
            plain.post("/bookings", {"reference": "b1"}, {"X-Request-Id": "r"})
        plain.post("/bookings", {"reference": "b1"}, {"X-Request-Id": "s"})
        executions = plain.call("GET", "/v1/executions")[1]
        self.assertEqual(executions["by_reference"], {"b1": 2})
        self.assertEqual(executions["by_request"], {"r": 1, "s": 1})

    def test_crash_text_changes_incarnation(self):
        plain = self.start("plain_service", "--report_lag_ms=0")
        before = plain.call("GET", "/v1/report")[1]["incarnation"]
        plain.post("/faults", {"crash_on": "poison"})
        with self.assertRaises((http.client.HTTPException, OSError)):
            plain.post("/bookings", "poison")
        self.assertEqual(plain.call("GET", "/v1/report")[1]["incarnation"], before + 1)


if __name__ == "__main__":
    PROGRAMS = sys.argv.pop(1)
    unittest.main()
