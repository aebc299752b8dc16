"""Tests an instance process whose backend servers send nothing for a while and then go on.

A server's silence is no reason to end an answer: the exchange may only be given up for another
server that takes the request over.
"""

from __future__ import annotations

import itertools
import signal
import sys
import threading
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from answer_bytes import COMMENT, END, STREAM, chunk, event, head  # noqa: E402
from entry_fleet import HANG_LIMIT_S, Instance, configuration, route, wait_until  # noqa: E402
from misbehaving_server import Connection, MisbehavingServer, Request  # noqa: E402
from platform_fleet import BackendServer, Store  # noqa: E402

# Longer than the time after which another server is looked for: five times the gap objective, a
# second at least.
SILENCE_S = 2.5
# Settings with which no request may be sent a second time.
NO_RETRY_BUDGET = "bounds.budget_slack=0\nbounds.retry_budget_ratio=0\n"
# Settings with which the retry budget covers every further run of a test.
RETRY_BUDGET = "bounds.budget_slack=200\n"
WHOLE_STREAM = [1, 2, 3, 4, 5]


def event_ids(answer: bytes) -> list[int]:
    """Returns the ids of the events; 0 is appended if the answer does not end."""
    ids = [int(line[4:]) for line in answer.splitlines() if line.startswith(b"id: ")]
    return ids if answer.endswith(b"0\r\n\r\n") else [*ids, 0]


class SilentServerTest(unittest.TestCase):
    """Starts a store, two runners, a plain server and one instance."""

    runner_count = 2
    more_settings = ""

    def setUp(self) -> None:
        self.store = Store()
        config = configuration(1, ["k1"])
        config["routes"].append(route("embed", "idempotent", "llm", max_attempts=3))
        for entry in config["routes"]:
            entry["gap_target_ms"] = 100
        self.store.put("op", "config", config)
        self.plain = BackendServer(self.store, "p0", "plain")
        self.runners = [BackendServer(self.store, f"r{number}", "llm", ["m1"])
                        for number in range(self.runner_count)]
        for runner in self.runners:
            runner.silences_s = {3: SILENCE_S}
        self.instance = Instance(self.store, "n1", more_settings=self.more_settings)
        self.instance.wait_until_serving(servers=1 + self.runner_count)

    def tearDown(self) -> None:
        self.instance.close()
        for service in (self.plain, *self.runners, self.store):
            service.close()

    def stream(self) -> list[int]:
        return event_ids(self.instance.raw_answer("/draft/a", "s1", "m1"))

    def stream_in_a_stop(self) -> list[int]:
        """Returns the events of a stream whose instance is told to stop while it runs."""
        received: list[list[int]] = []
        caller = threading.Thread(target=lambda: received.append(self.stream()))
        caller.start()
        wait_until(self.runs, "the stream runs")
        self.instance.process.send_signal(signal.SIGTERM)
        caller.join()
        return received[0]

    def runs(self) -> list[str]:
        """Returns the names of the runners that ran a request, in the order of the runs."""
        runs = sorted((run["at"], run["server"]) for runner in self.runners for run in runner.ran)
        return [server for _, server in runs]


class DeniedRetryTest(SilentServerTest):
    """The retry budget allows no second run."""

    more_settings = NO_RETRY_BUDGET

    def test_stream_without_a_retry_budget_is_not_cut_for_a_silence(self) -> None:
        """Guards against an exchange that is given up before another run is allowed."""
        self.assertEqual(self.stream(), WHOLE_STREAM)
        self.assertEqual(len(self.runs()), 1)

    def test_stream_without_a_retry_budget_is_not_cut_for_a_silence_in_a_stop(self) -> None:
        """Guards against the same during a planned stop of the instance."""
        self.assertEqual(self.stream_in_a_stop(), WHOLE_STREAM)
        self.assertEqual(self.instance.process.wait(HANG_LIMIT_S), 0)

    def test_stream_with_a_late_first_event_is_not_failed_without_a_retry_budget(self) -> None:
        """Guards against the same before the first event: the caller received 502."""
        for runner in self.runners:
            runner.silences_s = {1: SILENCE_S}
        self.assertEqual(self.stream(), WHOLE_STREAM)

    def test_slow_request_is_not_failed_without_a_retry_budget(self) -> None:
        """Guards against the same on a plain route: the caller received 502."""
        self.plain.answer_delay_s = 3.0
        status, _, _ = self.instance.request("/status/a", headers={"X-Deadline-Ms": "4000"})
        self.assertEqual(status, 200)

    def test_slow_body_of_a_plain_answer_is_whole(self) -> None:
        """Guards against an answer that counts as complete where its server was silent."""
        self.plain.body_delay_s = SILENCE_S
        status, body, _ = self.instance.request("/status/a", headers={"X-Deadline-Ms": "6000"})
        self.assertEqual((status, body), (200, b"done by p0"))


class OneRunnerTest(SilentServerTest):
    """No other server can take the stream over."""

    runner_count = 1

    def test_stream_with_no_other_server_is_not_cut_for_a_silence(self) -> None:
        """Guards against an exchange that is given up before there is another server."""
        self.assertEqual(self.stream(), WHOLE_STREAM)
        self.assertEqual(len(self.runs()), 1)

    def test_stream_with_no_other_server_is_not_cut_for_a_silence_in_a_stop(self) -> None:
        """Guards against the same during a planned stop of the instance."""
        self.assertEqual(self.stream_in_a_stop(), WHOLE_STREAM)


class TwoRunnersTest(SilentServerTest):
    """Another server can take the stream over."""

    def test_stream_goes_on_at_another_server_after_a_silence(self) -> None:
        """Guards against a stream that waits for a server that has stopped working."""
        for runner in self.runners:
            runner.silences_s = {3: 6.0}
        began = time.monotonic()
        self.assertEqual(self.stream(), WHOLE_STREAM)
        self.assertLess(time.monotonic() - began, 5.0)
        self.assertEqual(len(set(self.runs())), 2)

    def test_stream_stays_at_its_server_when_the_instance_was_paused(self) -> None:
        """Guards against a pause of the process that counts as a silence of the server."""
        for runner in self.runners:
            runner.silences_s = {}
            runner.event_delay_s = 0.3
        received: list[list[int]] = []
        caller = threading.Thread(target=lambda: received.append(self.stream()))
        caller.start()
        wait_until(self.runs, "the stream runs")
        time.sleep(0.5)
        self.instance.process.send_signal(signal.SIGSTOP)
        time.sleep(SILENCE_S)
        self.instance.process.send_signal(signal.SIGCONT)
        caller.join()
        self.assertEqual(received, [WHOLE_STREAM])
        self.assertEqual(len(self.runs()), 1)

    def test_stream_that_the_next_server_refuses_goes_on_at_the_silent_one(self) -> None:
        """Guards against an exchange that is given up before the next server has accepted."""
        for runner in self.runners:
            runner.mode = "shed_resumed"
        self.assertEqual(self.stream(), WHOLE_STREAM)
        self.assertEqual(len(self.runs()), 1)

    def test_stream_that_goes_on_before_the_next_server_answers_stays(self) -> None:
        """Guards against events that wait while the next server does not answer."""
        for runner in self.runners:
            runner.resume_delay_s = 20.0
        began = time.monotonic()
        self.assertEqual(self.stream(), WHOLE_STREAM)
        self.assertLess(time.monotonic() - began, 5.0)


class LateHeadTest(SilentServerTest):
    """The server that receives a request first sends the head of its answer late."""

    def setUp(self) -> None:
        super().setUp()
        self.other = BackendServer(self.store, "p1", "plain")
        self.addCleanup(self.other.close)
        self.instance.wait_until_serving(servers=2 + self.runner_count)
        for runner in self.runners:
            runner.silences_s = {}

    def delay_first(self, delay_s: float, mode_of_others: str) -> None:
        """Delays the answer to the first arrival; other arrivals are answered by this mode."""
        arrivals = itertools.count()
        for server in (self.plain, self.other, *self.runners):
            def run(call, body, server=server, usual=server._run) -> None:
                first = next(arrivals) == 0
                server.answer_delay_s = delay_s if first else 0.0
                server.mode = "good" if first else mode_of_others
                usual(call, body)
            server._run = run

    def plain_status(self) -> int:
        return self.instance.request("/status/a", headers={"X-Deadline-Ms": "4000"})[0]

    def embed_status(self) -> int:
        """Returns the status of a plain request to the runners."""
        return self.instance.request(
            "/embed/a", headers={"X-Deadline-Ms": "4000", "X-Model": "m1"})[0]

    def test_slow_request_that_the_next_server_refuses_gets_its_answer(self) -> None:
        """Guards against an exchange that is given up for a server that refuses: 502."""
        self.delay_first(3.0, "full")
        self.assertEqual(self.plain_status(), 200)

    def test_stream_with_a_late_head_that_the_next_server_refuses_is_whole(self) -> None:
        """Guards against the same for a stream."""
        self.delay_first(3.0, "full")
        self.assertEqual(self.stream(), WHOLE_STREAM)

    def assert_first_answers(self, next_delay_s: float, next_mode: str) -> None:
        """Checks that the first server's answer, after 3 s, arrives although the next server
        answers in another way."""
        self.delay_first(3.0, next_mode)
        for server in (self.plain, self.other):
            def run(call, body, usual=server._run) -> None:
                if self.plain.arrivals or self.other.arrivals:
                    time.sleep(next_delay_s)
                usual(call, body)
            server._run = run
        self.assertEqual(self.plain_status(), 200)

    def test_slow_request_whose_next_server_refuses_late_gets_its_answer(self) -> None:
        """Guards against an exchange that is closed before the next server has answered."""
        self.assert_first_answers(0.5, "full")

    def test_slow_request_whose_next_server_breaks_off_gets_its_answer(self) -> None:
        """Guards against an exchange with a slow server that is closed before the next one has
        closed its connection."""
        self.assert_first_answers(0.5, "reset")

    def test_slow_request_whose_next_server_hangs_gets_its_answer(self) -> None:
        """Guards against an exchange with a slow server that is closed while the next hangs."""
        self.assert_first_answers(8.0, "good")

    def test_slow_request_is_answered_if_every_server_is_slow(self) -> None:
        """Guards against an answer that no server can give because each one is left in turn."""
        self.plain.answer_delay_s = self.other.answer_delay_s = 3.0
        self.assertEqual(self.plain_status(), 200)

    def test_slow_request_is_answered_by_the_next_server(self) -> None:
        """Guards against a request that waits for a server that does not answer."""
        self.delay_first(20.0, "good")
        self.assertEqual(self.plain_status(), 200)
        silent = wait_until(lambda: self.instance.events(1103), "the silence is logged")
        self.assertEqual([event["not_repeated"] for event in silent], [""])

    def test_slow_request_does_not_run_at_two_runners_for_long(self) -> None:
        """Guards against two runners that work on one request until one of them answers."""
        arrived_at: list[float] = []
        left_at: list[float] = []
        for server in self.runners:
            def run(call, body, usual=server._run) -> None:
                arrived_at.append(time.monotonic())
                if len(arrived_at) > 1:
                    time.sleep(1.0)
                    usual(call, body)
                    return
                call.connection.settimeout(HANG_LIMIT_S)
                call.connection.recv(1)
                left_at.append(time.monotonic())
                call.close_connection = True
            server._run = run
        self.assertEqual(self.embed_status(), 200)
        self.assertLess(left_at[0] - arrived_at[1], 0.4)


class NextServerCase(unittest.TestCase):
    """The server that receives a stream first sends two events and is silent; another one is
    asked to take the stream over and answers in the way that a test selects."""

    runner_count = 2

    def setUp(self) -> None:
        self.store = Store()
        config = configuration(1, ["k1"])
        for entry in config["routes"]:
            entry["gap_target_ms"] = 100
            if entry["name"] == "draft":
                entry["max_attempts"] = self.runner_count
        self.store.put("op", "config", config)
        self.runners = [MisbehavingServer(self.store, f"r{number}", "llm", ["m1"])
                        for number in range(self.runner_count)]
        for runner in self.runners:
            runner.play(self.answer_run)
        self.instance = Instance(self.store, "n1", more_settings=RETRY_BUDGET)
        self.instance.wait_until_serving(servers=self.runner_count)
        # What the first server does after its two events, and how the next one answers.
        self.go_on_first = self.go_on_late
        self.answer_next = self.continue_stream
        self.next_arrived = threading.Event()

    def tearDown(self) -> None:
        self.instance.close()
        for service in (*self.runners, self.store):
            service.close()

    def answer_run(self, connection: Connection, request: Request) -> None:
        if request.path == "/order":
            connection.send(head(request.id, "Content-Length: 0\r\n", 409))
        elif "last-event-id" in request.headers:
            self.next_arrived.set()
            self.answer_next(connection, request)
        else:
            connection.send(head(request.id, STREAM) + chunk(event(1)) + chunk(event(2)))
            self.go_on_first(connection)

    def go_on_late(self, connection: Connection) -> None:
        time.sleep(SILENCE_S)
        connection.send(b"".join(chunk(event(number)) for number in (3, 4, 5)) + END)

    def continue_stream(self, connection: Connection, request: Request) -> None:
        connection.send(head(request.id, STREAM) +
                        b"".join(chunk(event(number)) for number in (3, 4, 5)) + END)

    def answer_next_with(self, *pieces: bytes, pause_s: float = 0.0) -> None:
        """Makes the next server send the head of a stream and these pieces, and close the
        connection."""
        def answer(connection: Connection, request: Request) -> None:
            connection.send(head(request.id, STREAM))
            time.sleep(pause_s)
            connection.send(b"".join(pieces))
            connection.finish()
        self.answer_next = answer

    def stream(self) -> list[int]:
        return event_ids(self.instance.raw_answer("/draft/a", "s1", "m1"))

    def send_all_but_the_end(self, connection: Connection) -> None:
        connection.send(b"".join(chunk(event(number)) for number in (3, 4, 5)))
        connection.wait_for_close()


class SeveralNextServersTest(NextServerCase):
    """The same with two servers that can be asked one after the other."""

    runner_count = 3

    def test_stream_of_which_two_next_servers_have_only_the_end_left_is_whole(self) -> None:
        """Guards against a continuation that is refused because no event is left."""
        self.go_on_first = self.send_all_but_the_end
        self.answer_next_with(END)
        began = time.monotonic()
        self.assertEqual(self.stream(), WHOLE_STREAM)
        self.assertLess(time.monotonic() - began, 2 * SILENCE_S)


class NextServerTest(NextServerCase):
    """One server can be asked."""

    def assert_whole_without_next(self) -> None:
        """Checks that the stream is whole although the next server, which was asked, failed."""
        self.next_arrived.clear()
        began = time.monotonic()
        self.assertEqual(self.stream(), WHOLE_STREAM)
        self.assertTrue(self.next_arrived.is_set())
        self.assertLess(time.monotonic() - began, 2 * SILENCE_S)

    def test_stream_whose_next_server_breaks_off_after_its_head_is_whole(self) -> None:
        """Guards against a silent server that is left before the next one sends an event."""
        for pause_s in (0.0, 0.05):
            with self.subTest(pause_s=pause_s):
                self.answer_next_with(pause_s=pause_s)
                self.assert_whole_without_next()

    def test_stream_whose_next_server_breaks_off_in_its_first_event_is_whole(self) -> None:
        """Guards against a part of an event that counts as one, or is joined to the next."""
        self.answer_next_with(chunk(COMMENT), chunk(event(3)[:-1]))
        self.assert_whole_without_next()

    def test_stream_whose_next_server_starts_over_is_whole(self) -> None:
        """Guards against a silent server that is left for one that does not continue."""
        self.answer_next_with(*(chunk(event(number)) for number in range(1, 6)), END)
        self.assert_whole_without_next()

    def test_stream_whose_next_server_sends_an_error_is_whole(self) -> None:
        """Guards against a silent server that is left for one that sends only an error's text."""
        for error in (b'{"error":{}}', b'{"error":{}}\n\n'):
            with self.subTest(error=error):
                self.answer_next_with(chunk(error), END)
                self.assert_whole_without_next()

    def test_stream_whose_next_server_alone_has_only_its_end_left_is_not_complete(self) -> None:
        """Guards against the end of a stream on the word of one server, which may be in
        trouble."""
        self.go_on_first = self.send_all_but_the_end
        self.answer_next_with(END)
        self.assertEqual(self.stream(), [*WHOLE_STREAM, 0])

    def test_stream_that_both_servers_continue_is_sent_once(self) -> None:
        """Guards against pieces of two runs that are joined while both servers are kept."""
        for first_delay_s, next_delay_s in ((0.0, 0.0), (0.05, 0.0), (0.0, 0.1), (0.15, 0.1)):
            with self.subTest(first_delay_s=first_delay_s, next_delay_s=next_delay_s):
                self.next_arrived.clear()

                def go_on(connection: Connection, delay_s=first_delay_s) -> None:
                    connection.send(chunk(b"id: 3\nda"))
                    self.next_arrived.wait(HANG_LIMIT_S)
                    time.sleep(delay_s)
                    connection.send(chunk(b"ta: 3\n\n") + chunk(event(4)) + chunk(event(5)) +
                                    END)
                self.go_on_first = go_on
                self.answer_next_with(*(chunk(event(number)) for number in (3, 4, 5)), END,
                                      pause_s=next_delay_s)
                answer = self.instance.raw_answer("/draft/a", "s1", "m1")
                self.assertEqual(event_ids(answer), WHOLE_STREAM)
                for number in WHOLE_STREAM:
                    self.assertEqual(answer.count(b"data: %d\n" % number), 1)

    def test_stream_that_goes_on_before_the_next_first_event_does_not_wait(self) -> None:
        """Guards against an event of the silent server that waits for the next server's."""
        def go_on(connection: Connection) -> None:
            self.next_arrived.wait(HANG_LIMIT_S)
            time.sleep(0.1)
            connection.send(b"".join(chunk(event(number)) for number in (3, 4, 5)) + END)
        self.go_on_first = go_on
        self.answer_next_with(pause_s=5.0)
        began = time.monotonic()
        self.assertEqual(self.stream(), WHOLE_STREAM)
        self.assertLess(time.monotonic() - began, 3.0)

    def test_stream_does_not_run_at_two_servers_for_long(self) -> None:
        """Guards against a silent server that is kept until the next one's first event."""
        left_at: list[float] = []
        arrived_at: list[float] = []

        def wait_for_close(connection: Connection) -> None:
            try:
                connection.wait_for_close()
            finally:
                left_at.append(time.monotonic())

        def answer_late(connection: Connection, request: Request) -> None:
            arrived_at.append(time.monotonic())
            connection.send(head(request.id, STREAM))
            time.sleep(0.8)
            connection.send(b"".join(chunk(event(number)) for number in (3, 4, 5)) + END)
        self.go_on_first = wait_for_close
        self.answer_next = answer_late
        self.assertEqual(self.stream(), WHOLE_STREAM)
        self.assertLess(left_at[0] - arrived_at[0], 0.4)

    def send_until_closed(self, connection: Connection, piece: bytes) -> None:
        while True:
            connection.send(piece)
            time.sleep(0.02)

    def test_stream_of_a_server_that_sends_no_whole_event_is_moved(self) -> None:
        """Guards against comments, or a part of an event, for which the next server's run is
        given up: no other run was left, and the stream was cut at the deadline."""
        pieces = {"comment": chunk(b": keep-alive\n\n"), "comment line": chunk(b": a\n"),
                  "part of an event": chunk(b"data: x\n"), "part of a chunk": b"0"}
        # Before the next server's head, and between its head and its first event.
        for name, piece in pieces.items():
            for before_head_s, after_head_s in ((0.3, 0.0), (0.0, 0.15)):
                with self.subTest(piece=name, before_head_s=before_head_s):
                    self.go_on_first = lambda connection, piece=piece: self.send_until_closed(
                        connection, piece)

                    def answer(connection: Connection, request: Request,
                               pauses=(before_head_s, after_head_s)) -> None:
                        time.sleep(pauses[0])
                        connection.send(head(request.id, STREAM))
                        time.sleep(pauses[1])
                        connection.send(b"".join(map(chunk, map(event, (3, 4, 5)))) + END)
                    self.answer_next = answer
                    began = time.monotonic()
                    answer = self.instance.raw_answer("/draft/a", "s1", "m1")
                    self.assertEqual(event_ids(answer), WHOLE_STREAM)
                    self.assertNotIn(b"data: x", answer)
                    self.assertLess(time.monotonic() - began, 5.0)

    def test_comments_and_events_of_a_server_that_goes_on_are_passed_on(self) -> None:
        """Guards against the loss of what was read while the next server was asked."""
        def go_on(connection: Connection) -> None:
            self.next_arrived.wait(HANG_LIMIT_S)
            for piece in (COMMENT, COMMENT, b"id: 3\n", b"data: 3\n", b"\n" + event(4)):
                connection.send(chunk(piece))
                time.sleep(0.1)
            connection.send(chunk(event(5)) + END)
        self.go_on_first = go_on
        self.answer_next = lambda connection, request: connection.wait_for_close()
        answer = self.instance.raw_answer("/draft/a", "s1", "m1")
        self.assertEqual(event_ids(answer), WHOLE_STREAM)
        self.assertEqual(answer.count(COMMENT), 2)
        for number in WHOLE_STREAM:
            self.assertEqual(answer.count(b"data: %d\n" % number), 1)

    def test_stream_whose_end_comes_from_the_silent_server_is_whole(self) -> None:
        """Guards against the end of an answer that does not count because it is no event."""
        def send_all(connection: Connection) -> None:
            connection.send(b"".join(chunk(event(number)) for number in (3, 4, 5)))
            self.next_arrived.wait(HANG_LIMIT_S)
            connection.send(chunk(COMMENT) + END)
        self.go_on_first = send_all
        self.answer_next = lambda connection, request: connection.wait_for_close()
        began = time.monotonic()
        self.assertEqual(self.stream(), WHOLE_STREAM)
        self.assertLess(time.monotonic() - began, 5.0)


if __name__ == "__main__":
    unittest.main()
