"""Tests of the load tool against stand-ins.

Usage: load_test.py LOAD_TOOL FOLDER_OF_STANDINS
"""

import contextlib
import json
import os
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import standins_test  # noqa: E402

LOAD_TOOL = ""


class FaultyServer:
    """Says that it is ready, and leaves all other requests to answer()."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                with connection:
                    if b"/readyz" in connection.recv(1024):
                        connection.sendall(b"HTTP/1.1 102 Said\r\n\r\n"
                                           b"HTTP/1.1 200 Said\r\nConnection: close\r\n"
                                           b"Content-Length: 0\r\n\r\n")
                    else:
                        self.answer(connection)


class MalformedServer(FaultyServer):
    """Answers with a status that is none, after an informational answer."""

    def answer(self, connection):
        connection.sendall(b"HTTP/1.1 102 Said\r\n\r\n"
                           b"HTTP/1.1 000 Said\r\nConnection: close\r\n"
                           b"Content-Length: 0\r\n\r\n")


class EarlyServer(FaultyServer):
    """Resets the connection in the middle of an answer that has no length, without reading the
    request to its end."""

    def __init__(self):
        super().__init__()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 * 1024)

    def answer(self, connection):
        connection.sendall(b"HTTP/1.1 200 OK\r\n\r\n{")
        time.sleep(0.1)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class LoadTest(standins_test.StandinCase):
    def replay(self, trace, *standins, flags=()):
        """Returns the printed figures and the answers by id."""
        with tempfile.TemporaryDirectory() as folder:
            trace_file, answers_file = f"{folder}/trace", f"{folder}/answers"
            with open(trace_file, "w", encoding="utf-8") as lines:
                lines.writelines(json.dumps(request) + "\n" for request in trace)
            instances = ",".join(f"127.0.0.1:{standin.port}" for standin in standins)
            done = subprocess.run(
                [LOAD_TOOL, f"--trace={trace_file}", f"--instances={instances}",
                 f"--answers={answers_file}", *flags],
                check=True, capture_output=True, text=True)
            with open(answers_file, encoding="utf-8") as lines:
                answers = [json.loads(line) for line in lines]
        figures = {name: value for name, value, _ in map(str.split, done.stdout.splitlines())}
        return figures, {answer["id"]: answer for answer in answers}

    def engine_with_model(self, *flags):
        engine = self.start("model_engine", "--load_ms=1", *flags)
        engine.post("/v1/orders", {"order_id": "o", "fence": 1, "action": "load", "model": "m",
                                   "version": "1", "bytes": 1})
        return engine

    def test_stream_whole_is_counted_with_tokens(self):
        engine = self.engine_with_model()
        figures, answers = self.replay(
            [{"path": "/v1/chat/completions", "model": "m", "prompt_tokens": 7,
              "max_tokens": 3, "stream": True, "reference": "ref"}], engine)
        self.assertEqual((figures["status_200"], figures["broken"]), ("1", "0"))
        self.assertEqual((answers["1"]["whole"], answers["1"]["tokens"]), (True, 10))
        self.assertEqual(engine.log()["by_reference"], {"ref": 1})

    def test_stream_cut_off_is_broken(self):
        engine = self.engine_with_model()
        engine.post("/faults", {"crash_on": "poison"})
        figures, answers = self.replay(
            [{"path": "/v1/chat/completions", "model": "m", "max_tokens": 3, "stream": True,
              "reference": "poison"}], engine)
        self.assertEqual(figures["broken"], "1")
        self.assertEqual((answers["1"]["whole"], answers["1"]["code"]),
                         (False, "connection_lost"))

    def test_status_that_is_none_is_no_answer(self):
        server = MalformedServer()
        self.addCleanup(server.listener.close)
        _, answers = self.replay([{"path": "/a", "id": "x"}], server)
        self.assertEqual((answers["x"]["status"], answers["x"]["code"]),
                         (0, "malformed_answer"))

    def test_answer_cut_by_a_reset_during_the_request_is_broken(self):
        """Guards against a write that takes the kernel's only report of the reset."""
        server = EarlyServer()
        self.addCleanup(server.listener.close)
        _, answers = self.replay([{"path": "/a", "id": "x", "reference": "u" * (16 << 20)}],
                                 server)
        self.assertEqual((answers["x"]["whole"], answers["x"]["code"]),
                         (False, "connection_lost"))

    def test_answer_lost_is_not_sent_again(self):
        first = self.start("plain_service")
        second = self.start("plain_service")
        first.post("/faults", {"lose_answers": 1, "lose_path": "/bookings"})
        _, answers = self.replay([{"path": "/bookings", "reference": "b"}], first, second)
        self.assertEqual(answers["1"]["code"], "connection_lost")
        self.assertEqual(first.log()["by_reference"], {"b": 1})
        self.assertEqual(second.log()["by_reference"], {})

    def test_instance_stopped_is_passed_over(self):
        stopped = self.start("plain_service")
        running = self.start("plain_service")
        stopped.process.kill()
        stopped.process.wait()
        figures, _ = self.replay([{"path": "/a"}] * 4, stopped, running)
        self.assertEqual(figures["status_200"], "4")

    def test_refusal_code_is_counted(self):
        plain = self.start("plain_service")
        plain.post("/faults", {"down": True})
        figures, answers = self.replay([{"path": "/a", "id": "x"}], plain)
        self.assertEqual(figures["status_503"], "1")
        self.assertEqual(answers["x"]["status"], 503)

    def test_keep_alive_reuses_connections(self):
        plain = self.start("plain_service")
        figures, _ = self.replay([{"path": "/a"}] * 200, plain, flags=["--threads=2"])
        self.assertEqual(figures["status_200"], "200")
        # Two senders, the readiness check and this look at the log.
        self.assertLessEqual(plain.log()["connections"], 4)

    def test_malformed_trace_names_line_and_field(self):
        with tempfile.NamedTemporaryFile("w", suffix=".jsonl") as trace:
            trace.write('{"path":"/a"}\n{"path":"/a","at_ms":"x"}\n')
            trace.flush()
            done = subprocess.run(
                [LOAD_TOOL, f"--trace={trace.name}", "--instances=127.0.0.1:1"],
                capture_output=True, text=True, check=False)
        self.assertEqual(done.returncode, 1)
        self.assertIn('trace line 2: malformed field "at_ms"', done.stderr)


if __name__ == "__main__":
    LOAD_TOOL = sys.argv.pop(1)
    standins_test.PROGRAMS = sys.argv.pop(1)
    unittest.main()
