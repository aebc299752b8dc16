"""Starts and controls the demo's processes: stand-ins, daemons and the load tool."""

import http.client
import itertools
import json
import socket
import subprocess
import time

import settings


class DemoError(Exception):
    """The demo cannot continue, so no promise can be checked."""


def call(port, method, path, body=None, headers=None, timeout=30):
    """Returns the status and the parsed JSON body, or None if the body is not JSON."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, None if body is None else json.dumps(body),
                           headers or {})
        answer = connection.getresponse()
        content = answer.read()
        try:
            return answer.status, json.loads(content)
        except ValueError:
            return answer.status, None
    finally:
        connection.close()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def wait_for(condition, limit_s, what):
    """Polls until the condition returns a true value, and returns that value."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        try:
            found = condition()
        except (OSError, http.client.HTTPException):
            found = None
        if found:
            return found
        time.sleep(0.05)
    raise DemoError(f"timed out after {limit_s:g} s: {what}")


class Standin:
    def __init__(self, program, name, *flags):
        self.name = name
        self.log_file = open(settings.OUTPUT / f"{name}.log", "w", encoding="utf-8")
        self.process = subprocess.Popen([settings.STANDINS / program, *flags], text=True,
                                        stdout=subprocess.PIPE, stderr=self.log_file)
        first = self.process.stdout.readline().split()
        if first[:2] != ["listening", "on"]:
            raise DemoError(f"{name} did not start; see {self.log_file.name}")
        self.port = int(first[2])

    def log(self):
        return call(self.port, "GET", "/v1/log")[1]

    def set_faults(self, **faults):
        call(self.port, "POST", "/faults", faults)

    def stop(self):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()
        self.log_file.close()


class Daemon:
    def __init__(self, program, name, domain, platform):
        self.name = name
        self.domain = domain
        self.listen_port, self.admin_port, self.peer_port = (free_port() for _ in range(3))
        values = {
            "instance_id": name, "failure_domain": domain,
            "listen": f"127.0.0.1:{self.listen_port}",
            "admin_listen": f"127.0.0.1:{self.admin_port}",
            "peer_listen": f"127.0.0.1:{self.peer_port}",
            "table": f"127.0.0.1:{platform['table'].port}",
            "objects": f"127.0.0.1:{platform['objects'].port}",
            "instance_list": f"127.0.0.1:{platform['list'].port}",
            "cluster_secret": settings.CLUSTER_SECRET,
            "operator_token": settings.OPERATOR_TOKEN,
        }
        flags = [f"{settings.DAEMON_FLAGS[key]}={value}" for key, value in values.items()]
        self.log_file = open(settings.OUTPUT / f"{name}.log", "w", encoding="utf-8")
        self.process = subprocess.Popen([program, *flags], stdout=self.log_file,
                                        stderr=subprocess.STDOUT)

    def alive(self):
        return self.process.poll() is None

    def admin(self, method, path, body=None):
        return call(self.admin_port, method, path, body,
                    {"Authorization": f"Bearer {settings.OPERATOR_TOKEN}"})

    def ready(self):
        if not self.alive():
            raise DemoError(f"{self.name} ended with {self.process.returncode}; "
                            f"see {self.log_file.name}")
        return call(self.listen_port, "GET", settings.READY_PATH, timeout=2)[0] == 200

    def config_version(self):
        status, config = self.admin("GET", settings.CONFIG_PATH)
        return config.get("version", 0) if status == 200 and config else 0

    def stop(self):
        if self.alive():
            self.process.kill()
        self.process.wait()
        self.log_file.close()


class Fleet:
    """All processes of the demo. On exit, ends only the processes that it started."""

    def __init__(self, program):
        self.program = program
        self.started = []
        self.daemons = []
        self.versions_seen = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in reversed(self.started):
            process.stop()

    def standin(self, program, name, *flags):
        started = Standin(program, name, *flags)
        self.started.append(started)
        return started

    def start_standins(self):
        self.platform = {
            "table": self.standin("table_service", "table", "--writes_per_second=400",
                                  "--reads_per_second=2000"),
            "objects": self.standin("object_store", "objects"),
            "weights": self.standin("weight_store", "weights", "--model_ms=400"),
            "list": self.standin("instance_list", "list", f"--lag_ms={settings.LIST_LAG_MS}"),
        }
        # The last engine ignores fencing tokens, as some real engines do.
        self.engines = [self.standin(
            "model_engine", f"runner-{number}", "--token_us=2000", "--batch=16",
            f"--capacity_bytes={settings.ENGINE_CAPACITY}",
            f"--check_fence={'false' if number == settings.ENGINES - 1 else 'true'}",
            f"--weight_store_port={self.platform['weights'].port}")
            for number in range(settings.ENGINES)]
        self.plain = {pool: [self.standin("plain_service", f"{pool}-{number}")
                             for number in range(count)]
                      for pool, count in (("dispatch", 3), ("registry", 2))}
        for engine in self.engines:
            self.register_backend(engine, "runner", "models")
        for pool, servers in self.plain.items():
            for server in servers:
                self.register_backend(server, "plain", pool)

    def backends(self):
        return [*self.engines, *itertools.chain.from_iterable(self.plain.values())]

    def register(self, **fields):
        call(self.platform["list"].port, "POST", "/v1/register", fields)

    def register_backend(self, server, kind, pool, state="live"):
        report = call(server.port, "GET", "/v1/report")[1]
        number = int(server.name.rsplit("-", 1)[1])
        self.register(id=server.name, kind=kind, service=pool, host="127.0.0.1",
                      port=server.port, peer_port=0, state=state,
                      failure_domain=f"domain-{number % settings.INSTANCES}",
                      incarnation=report["incarnation"])

    def register_daemon(self, daemon, state="live"):
        self.register(id=daemon.name, kind="entry", service="", host="127.0.0.1",
                      port=daemon.listen_port, peer_port=daemon.peer_port, state=state,
                      failure_domain=daemon.domain, incarnation=1)

    def start_daemon(self, name, domain):
        daemon = Daemon(self.program, name, domain, self.platform)
        self.started.append(daemon)
        self.daemons.append(daemon)
        self.register_daemon(daemon)
        return daemon

    def live_daemons(self):
        return [daemon for daemon in self.daemons if daemon.alive()]

    def reverted_versions(self):
        """Reads the configuration version of each daemon; returns the versions that decreased."""
        reverted = []
        for daemon in self.live_daemons():
            version = daemon.config_version()
            if version < self.versions_seen.get(daemon.name, 0):
                reverted.append(f"{daemon.name} went back to version {version}")
            self.versions_seen[daemon.name] = version
        return reverted

    def submit(self, operation, expected, change):
        """Submits a change; returns its answer and the seconds until all instances applied it."""
        begun = time.monotonic()
        status, answer = self.live_daemons()[0].admin("POST", settings.CHANGES_PATH, {
            "operation": operation, "expected": expected, "change": change})
        version = (answer or {}).get("version", 0)
        if not version:
            raise DemoError(f"change {operation} was refused: {status} {answer}")
        wait_for(lambda: all(daemon.config_version() >= version
                             for daemon in self.live_daemons()),
                 60, f"version {version} at every instance")
        return answer, time.monotonic() - begun


class Replay:
    """A run of the load tool in the background."""

    def __init__(self, fleet, name, trace):
        self.name = name
        file_name = name.replace(" ", "-")
        self.answers_file = settings.OUTPUT / f"{file_name}.answers.jsonl"
        trace_file = settings.OUTPUT / f"{file_name}.trace.jsonl"
        trace_file.write_text("".join(json.dumps(request) + "\n" for request in trace))
        instances = ",".join(f"127.0.0.1:{daemon.listen_port}"
                             for daemon in fleet.live_daemons())
        self.process = subprocess.Popen(
            [settings.LOAD_TOOL, f"--trace={trace_file}", f"--instances={instances}",
             f"--answers={self.answers_file}", "--bodies", "--timeout_ms=40000"],
            stdout=subprocess.PIPE, text=True)
        fleet.started.append(self)

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()

    def answers(self):
        """Waits for the load tool to exit and returns the answers that it recorded."""
        self.process.communicate()
        if self.process.returncode != 0:
            raise DemoError(f"the load tool ended with {self.process.returncode}")
        with open(self.answers_file, encoding="utf-8") as lines:
            return [json.loads(line) for line in lines]
