"""Starts instances of carawayturn-entry as processes on loopback, for tests and the soak."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import random
import socket
import subprocess
import tempfile
import time
from pathlib import Path

from platform_fleet import Store, StoreEndpoint

HANG_LIMIT_S = 60
START_ATTEMPTS = 5
# Set in builds with the address sanitizer, which keeps freed memory in quarantine;
# Instance.memory_peak() includes that memory.
FREED_MEMORY_IS_HELD = "CARAWAYTURN_FREED_MEMORY_IS_HELD" in os.environ


def wait_until(condition, what: str, limit_s: float = HANG_LIMIT_S):
    """Polls until the condition returns a true value, and returns that value."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"not within {limit_s:g} s: {what}")


# Ports below the range for outgoing connections. In that range, a new connection could take a
# port between the search for it and the start of the process.
PORT_RANGE = range(10000, 32000)


def find_adjacent_ports(count: int) -> int:
    """Returns the first of `count` consecutive free ports."""
    while True:
        first = random.randrange(PORT_RANGE.start, PORT_RANGE.stop - count)
        with contextlib.ExitStack() as sockets:
            try:
                for port in range(first, first + count):
                    probe = sockets.enter_context(socket.socket())
                    probe.bind(("127.0.0.1", port))
                return first
            except OSError:
                continue


class Instance:
    """An instance of carawayturn-entry; it can be stopped and started again."""

    def __init__(self, store: Store, name: str, store_address=None,
                 more_settings: str = "", environment: dict[str, str] | None = None) -> None:
        """Starts the process. `store_address` maps the store endpoint's address to the one that
        the process uses, such as a proxy's; `more_settings` is appended to the settings file, and
        `environment` holds variables of the process."""
        self.name = name
        self.more_settings = more_settings
        self.environment = environment or {}
        self.store_endpoint = StoreEndpoint(store)
        address = store_address(
            self.store_endpoint.address) if store_address else self.store_endpoint.address
        self.folder = tempfile.TemporaryDirectory()
        self.log_path = Path(self.folder.name) / "log"
        self.settings = Path(self.folder.name) / "boot.conf"
        for _ in range(START_ATTEMPTS):
            self._write_settings(name, address)
            self.start()
            if wait_until(lambda: self.process.poll() is not None or self.listens(),
                          f"{name} listens") and self.process.poll() is None:
                return
        raise AssertionError(f"{name} does not start: {self.log_path.read_text()}")

    def _write_settings(self, name: str, store_address: str) -> None:
        """Writes the settings with newly found ports.

        Another process may take one of the ports first; the caller then tries again.
        """
        self.front_port = find_adjacent_ports(4)
        self.ready_port, self.peer_port = self.front_port + 1, self.front_port + 2
        self.settings.write_text(
            f"node_name={name}\nip=127.0.0.1\nzone=a\n"
            f"listen.front=127.0.0.1:{self.front_port}\n"
            f"listen.ready=127.0.0.1:{self.ready_port}\n"
            f"internal_ports={self.peer_port},{self.peer_port + 1}\n"
            f"platform.address={store_address}\n"
            "bounds.revoke_ms=5000\nbounds.grace_s=8\nbounds.lease_ms=3000\n"
            + self.more_settings,
            encoding="utf-8")

    def listens(self) -> bool:
        """Whether the port that the process opens last accepts connections."""
        with socket.socket() as probe:
            return probe.connect_ex(("127.0.0.1", self.peer_port + 1)) == 0

    def start(self) -> None:
        program = os.environ["CARAWAYTURN_ENTRY"]
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [program], env={**self._sanitizer_options(), **self.environment,
                                "CARAWAYTURN_BOOT": str(self.settings)}, stdout=log)

    @staticmethod
    def _sanitizer_options() -> dict[str, str]:
        """Returns the environment variables that configure the sanitizer's runtime."""
        return {name: value for name, value in os.environ.items() if name == "ASAN_OPTIONS"}

    def wait_until_serving(self, servers: int) -> None:
        """Waits until the instance is ready and knows this number of backend servers."""
        wait_until(self.ready, f"{self.name} is ready")
        wait_until(lambda: len(self.state().get("backend_servers", [])) == servers,
                   f"{self.name} knows {servers} servers")

    def stop(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def close(self) -> None:
        self.stop()
        self.store_endpoint.close()
        self.folder.cleanup()

    def request(self, path: str, **options) -> tuple[int, bytes, dict[str, str]]:
        """Sends one request on a new connection and returns status, body and headers."""
        headers = {"Host": "h.example", "X-Request-Id": options.get("id", "r1"),
                   "X-Deadline-Ms": "10000", "Authorization": "Token k1"}
        headers.update(options.get("headers", {}))
        connection = http.client.HTTPConnection("127.0.0.1", self.front_port, timeout=HANG_LIMIT_S)
        try:
            connection.request(options.get("method", "POST"), path,
                               options.get("body", b"x"), headers)
            answer = connection.getresponse()
            return answer.status, answer.read(), dict(answer.getheaders())
        finally:
            connection.close()

    def stream(self, path: str, model: str, request_id: str = "s1",
               headers: dict[str, str] | None = None,
               ) -> tuple[bytes, bool, http.client.HTTPMessage | None]:
        """Sends one request of a streaming route on a new connection. Returns the received bytes
        of the stream, whether it ended as complete, and the headers if it did."""
        connection = http.client.HTTPConnection("127.0.0.1", self.front_port, timeout=HANG_LIMIT_S)
        try:
            connection.request("POST", path, b"x", {
                "Host": "h.example", "X-Request-Id": request_id, "X-Model": model,
                "Authorization": "Token k1", **(headers or {})})
            answer = connection.getresponse()
            return answer.read(), answer.status == 200, answer.headers
        except http.client.IncompleteRead as failure:
            return failure.partial, False, None
        finally:
            connection.close()

    def raw_answer(self, path: str, request_id: str, model: str) -> bytes:
        """Sends one request and returns all bytes received until the connection closes."""
        with socket.create_connection(("127.0.0.1", self.front_port), HANG_LIMIT_S) as caller:
            caller.sendall(
                f"POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request_id}\r\n"
                f"X-Model: {model}\r\nAuthorization: Token k1\r\nConnection: close\r\n"
                "Content-Length: 1\r\n\r\nx".encode())
            received = b""
            while piece := caller.recv(65536):
                received += piece
            return received

    def memory_peak(self) -> int:
        """Returns the peak resident memory of the process in bytes."""
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        raise AssertionError("the process has ended")

    def page(self, path: str) -> str:
        connection = http.client.HTTPConnection("127.0.0.1", self.peer_port + 1, timeout=5)
        try:
            connection.request("GET", path)
            return connection.getresponse().read().decode()
        finally:
            connection.close()

    def state(self) -> dict:
        try:
            return json.loads(self.page("/state"))
        except (OSError, http.client.HTTPException):
            return {}

    def ready(self) -> bool:
        connection = http.client.HTTPConnection("127.0.0.1", self.ready_port, timeout=5)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def events(self, number: int) -> list[dict]:
        """Returns the logged events with this number. A line that is still being written is left
        out: the process writes its log in pieces that may end inside a line."""
        lines = self.log_path.read_bytes().split(b"\n")[:-1]
        return [event for event in map(json.loads, lines) if event["number"] == number]


def route(name: str, kind: str, service: str, **options) -> dict:
    """Returns a route of the configuration in the platform's format."""
    return {"name": name, "host": "h.example", "path_prefix": f"/{name}/", "kind": kind,
            "timeout_ms": 8000, "target_latency_ms": 1000, "priority": 1,
            "service": service, "public": False, "resumable": False,
            "max_attempts": 1, **options}


def configuration(version: int, keys: list[str], models: tuple[str, ...] = ("m1", "m2"),
                  more_tenants: tuple[dict, ...] = ()) -> dict:
    """Returns a configuration with plain and streaming routes; `keys` belong to tenant t1."""
    return {
        "version": version,
        "routes": [
            route("book", "non_idempotent", "plain"),
            route("status", "idempotent", "plain", max_attempts=3),
            route("draft", "streaming", "llm", resumable=True, max_attempts=2),
            route("open", "idempotent", "plain", public=True)],
        "services": [
            {"name": "plain"},
            {"name": "llm", "engine": {
                "slots": 4, "weights_mb": 220, "adapter_slots": 2, "loads_per_s": 10,
                "models": [{"name": name, "weights_mb": 100, "load_time_s": 0.1,
                            "disk_s": 0.1, "warm_s": 0.1, "adapters": 1,
                            "adapter_size_mb": 1} for name in models]}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 100000,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "t1", "api_keys": keys, "rate_per_s": 1000000,
                     "burst": 1000000, "unit": "tokens", "plain_tokens": 1},
                    *more_tenants]}
