#!/usr/bin/env python3
"""Fake daemon for testing the checks of the demo.

It serves the demo's requests in the simplest way and keeps the promises of docs/design.md,
except those named in the environment variable FAKE_BREAKS, for example "R5,R10".
"""

import collections
import hashlib
import http.client
import json
import os
import signal
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

BROKEN_PROMISES = set(os.environ.get("FAKE_BREAKS", "").split(","))
FLAGS = dict(text[2:].split("=", 1) for text in sys.argv[1:])
POLL_S = 0.2
DRAIN_NOTICE_S = 1.0



def call(address, method, path, body=None, headers=None):
    connection = http.client.HTTPConnection(address, timeout=60)
    try:
        connection.request(method, path, json.dumps(body) if body else None, headers or {})
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read())
    finally:
        connection.close()


def read_row(key):
    row = call(FLAGS["table"], "POST", "/v1/read", {"keys": [key]})[1]["rows"][0]
    return row["version"], json.loads(row.get("value", "null"))


def write_row(key, version, value):
    """Writes a row if its version is still `version`; returns whether it was written."""
    return call(FLAGS["table"], "POST", "/v1/commit", {
        "op": "fake", "checks": [{"key": key, "version": version}],
        "writes": [{"key": key, "value": json.dumps(value)}]})[0] == 200


class State:
    config = {"version": 0}
    backends = collections.defaultdict(list)
    draining = False
    in_flight = 0
    lock = threading.Lock()
    loads = threading.Lock()
    loaded = set()
    levels = {}
    turn = 0


def poll():
    while True:
        config = read_row("config/head")[1]
        if config:
            State.config = config
        listed = call(FLAGS["instance_list"], "GET", "/v1/instances")[1]["instances"]
        backends = collections.defaultdict(list)
        for entry in listed:
            if entry["state"] == "live" or "R11" in BROKEN_PROMISES:
                backends[entry["service"]].append(
                    (entry["id"], f"{entry['host']}:{entry['port']}"))
        State.backends = backends
        time.sleep(POLL_S)


def organisation_of(key):
    shown = hashlib.sha256(key.encode()).hexdigest()
    for organisation in State.config.get("organisations", []):
        if shown in organisation["key_digests"]:
            return organisation
    return State.config["organisations"][0] if "R4" in BROKEN_PROMISES else None


def take_rate_tokens(organisation, tokens):
    """Takes tokens from this instance's share of the rate; returns the seconds to wait, or 0."""
    share = 1 / State.config["instance_slots"]
    rate, burst = organisation["rate"] * share, organisation["burst"] * share
    with State.lock:
        now = time.monotonic()
        level, then = State.levels.get(organisation["id"], (burst, now))
        level = min(burst, level + (now - then) * rate)
        enough = level >= tokens or "R7" in BROKEN_PROMISES
        State.levels[organisation["id"]] = (level - tokens if enough else level, now)
    return 0 if enough else (tokens - level) / rate


def place_model(name):
    """Loads a model or adapter on the runner assigned to the model, after reserving memory."""
    adapter = next((entry for entry in State.config["adapters"] if entry["id"] == name), None)
    model = adapter["model"] if adapter else name
    entry = next(entry for entry in State.config["models"] if entry["id"] == model)
    runners = sorted(State.backends["models"])
    runner, address = runners[sum(map(ord, model)) % len(runners)]
    with State.loads:
        for action, item in (("load", entry), ("load_adapter", adapter)):
            if item is None or item["id"] in State.loaded:
                continue
            reserve(runner, item["id"])
            call(address, "POST", "/v1/orders", {
                "order_id": f"{runner}-{item['id']}", "fence": 1, "action": action,
                "model": model, "version": entry["version"], "bytes": item["bytes"],
                "adapter": name if action == "load_adapter" else ""})
            State.loaded.add(item["id"])
    return address


def reserve(runner, name):
    while "R1" not in BROKEN_PROMISES:
        version, held = read_row(f"runners/{runner}")
        held = held or []
        if name in held or write_row(f"runners/{runner}", version, held + [name]):
            return


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def reply(self, status, body, headers=None):
        content = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(content)))
        if State.draining:
            self.send_header("Connection", "close")
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(content)

    def refuse(self, status, code, ran="not-run", retry_after=1):
        self.reply(status, {"error": {"code": code, "message": code, "ran": ran}},
                   {"Retry-After": str(retry_after)})

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))


class AdminHandler(Handler):
    def do_GET(self):
        self.reply(200, State.config)

    def do_POST(self):
        asked = json.loads(self.body())
        version, head = read_row("config/head")
        config = head or {"version": 0}
        if config["version"] != asked["expected"]:
            return self.reply(409, {"version": 0, "error": {"code": "conflict"}})
        change = asked["change"]
        changed = dict(change["config"]) if change["type"] == "replace" else config
        for organisation in changed["organisations"]:
            if organisation["id"] == change.get("organisation"):
                organisation["key_digests"].remove(change["key_digest"])
        changed["version"] = asked["expected"] + 1
        accepted = write_row("config/head", version, changed)
        return self.reply(200, {"version": changed["version"], "accepted": accepted,
                                "missing": []})


class CallerHandler(Handler):
    def do_GET(self):
        # The instance list lags, and the assignment of models to runners needs all runners.
        ready = (self.path == "/readyz" and State.config["version"] and not State.draining
                 and len(State.backends["models"]) == 4 and len(State.backends["dispatch"]) == 3
                 and len(State.backends["registry"]) == 2)
        self.reply(200 if ready else 503, {})

    def do_POST(self):
        with State.lock:
            State.in_flight += 1
        try:
            self.serve(self.body())
        finally:
            with State.lock:
                State.in_flight -= 1

    def serve(self, content):
        route = max((route for route in State.config["routes"]
                     if self.path.startswith(route["path_prefix"])),
                    key=lambda route: len(route["path_prefix"]))
        key = self.headers.get("Authorization", "").removeprefix("Bearer ")
        organisation = organisation_of(key)
        if organisation is None and not route["open"]:
            return self.refuse(401, "key_unknown" if key else "key_missing")
        if route["pool"] == "models":
            return self.chat(json.loads(content), organisation, key)
        if route["at_most_once"]:
            return self.serve_once(route, organisation, content)
        return self.reply(*self.forward(route, content))

    def backend_headers(self):
        headers = {"X-Request-Id": os.urandom(8).hex()}
        if "R5" in BROKEN_PROMISES and "Authorization" in self.headers:
            headers["Authorization"] = self.headers["Authorization"]
        return headers

    def forward(self, route, content):
        with State.lock:
            State.turn += 1
            servers = State.backends[route["pool"]]
            _, address = servers[State.turn % len(servers)]
        return call(address, "POST", self.path, json.loads(content), self.backend_headers())

    def serve_once(self, route, organisation, content):
        if not self.headers.get("Idempotency-Key"):
            return self.refuse(400, "idempotency_key_missing")
        row = f"once/{organisation['id']}/{self.headers['Idempotency-Key']}"
        started = {"phase": "started", "body": hashlib.sha256(content).hexdigest()}
        if not write_row(row, 0, started) and "R10" not in BROKEN_PROMISES:
            return self.repeat(row, started)
        try:
            status, answer = self.forward(route, content)
        except (OSError, http.client.HTTPException):
            return self.refuse(502, "backend_failed",
                               "not-run" if "R9" in BROKEN_PROMISES else "unknown")
        write_row(row, read_row(row)[0], started | {"phase": "done", "answer": answer})
        return self.reply(status, answer)

    def repeat(self, row, started):
        kept = read_row(row)[1]
        if kept["body"] != started["body"]:
            return self.refuse(422, "idempotency_key_reused")
        if kept["phase"] != "done":
            return self.refuse(409, "idempotency_outcome_unknown", "unknown")
        return self.reply(200, kept["answer"])

    def chat(self, body, organisation, key):
        tokens = body["max_tokens"] + len(body["messages"][0]["content"]) // 4
        wait = take_rate_tokens(organisation, tokens)
        if wait:
            return self.refuse(429, "over_rate", retry_after=int(wait) + 1)
        connection = http.client.HTTPConnection(place_model(body["model"]), timeout=90)
        try:
            connection.request("POST", "/v1/chat/completions", json.dumps(body),
                               self.backend_headers())
            answer = connection.getresponse()
            if body["stream"]:
                return self.relay(answer, key)
            return self.reply(answer.status, json.loads(answer.read()))
        finally:
            connection.close()

    def relay(self, answer, key):
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        while line := answer.readline():
            if "R8" in BROKEN_PROMISES:
                line = line.replace(b"t7 ", b"")
            self.chunk(line)
            if organisation_of(key) is None:
                error = {"error": {"code": "key_withdrawn", "message": "", "ran": "ran"}}
                self.chunk(b"data: " + json.dumps(error).encode() + b"\n\n")
                break
        self.wfile.write(b"0\r\n\r\n")

    def chunk(self, line):
        self.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))
        self.wfile.flush()


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


def drain(server):
    State.draining = True
    time.sleep(DRAIN_NOTICE_S)
    server.shutdown()
    server.server_close()
    while State.in_flight:
        time.sleep(0.02)
    # Handler threads may still be writing the last answers.
    time.sleep(0.2)
    os._exit(0)


def main():
    threading.Thread(target=poll, daemon=True).start()
    admin = Server(("127.0.0.1", int(FLAGS["admin_listen"].rsplit(":", 1)[1])), AdminHandler)
    threading.Thread(target=admin.serve_forever, daemon=True).start()
    callers = Server(("127.0.0.1", int(FLAGS["listen"].rsplit(":", 1)[1])), CallerHandler)
    threading.Thread(target=callers.serve_forever, daemon=True).start()
    stopping = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopping.set())
    stopping.wait()
    if "R12" in BROKEN_PROMISES:
        os._exit(0)
    drain(callers)


if __name__ == "__main__":
    main()
