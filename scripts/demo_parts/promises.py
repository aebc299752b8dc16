"""Checks the promises R1 to R13 of docs/design.md from the answers and the executions."""

import collections
import json
import time

import settings
from fleet import call
from scenario import CHAT


R1_ATTEMPTS = 4
R1_ATTEMPT_INTERVAL_S = 0.5


class PromiseChecker:
    """Each check_* method returns a list of violations; an empty list means a kept promise."""

    def __init__(self, scenario):
        self.scenario = scenario
        self.facts = scenario.facts
        self.answers = scenario.answers
        self.requests = scenario.requests
        fleet = scenario.fleet
        self.engines = {engine.name: engine.log() for engine in fleet.engines}
        self.plain = {server.name: server.log()
                      for servers in fleet.plain.values() for server in servers}
        self.runs = scenario.count_runs()

    def checks(self):
        return {name: getattr(self, f"check_{name.lower()}")()
                for name in (f"R{number}" for number in range(1, 14))}

    def answers_of(self, names):
        return [self.answers[name] for name in names]

    @staticmethod
    def show(answer):
        return (f"{answer['id']}: {answer['status']} {answer['code']} "
                f"{'whole' if answer['whole'] else 'broken'}")

    def loaded(self, engine):
        return call(engine.port, "GET", "/v1/report")[1]["loaded"]

    def check_r1(self):
        # Reports lag behind the table, so only a mismatch in all attempts is a violation.
        for _ in range(R1_ATTEMPTS):
            broken = self.unreserved_loads()
            if not broken:
                break
            time.sleep(R1_ATTEMPT_INTERVAL_S)
        return broken

    def unreserved_loads(self):
        broken = []
        replicas = collections.Counter()
        table = self.scenario.fleet.platform["table"]
        rows = call(table.port, "POST", "/v1/read", {"prefix": "runners/"})[1]["rows"]
        reserved = {row["key"].split("/", 1)[1]: row["value"] for row in rows}
        for engine in self.scenario.fleet.engines:
            for item in self.loaded(engine):
                name = item["adapter"] or item["model"]
                replicas[item["model"]] += not item["adapter"]
                if json.dumps(name) not in reserved.get(engine.name, ""):
                    broken.append(f"{engine.name} loaded {name} without a reservation in the table")
        broken += [f"{model} has {count} replicas" for model, count in replicas.items()
                   if count > settings.MAX_REPLICAS]
        return broken

    def check_r2(self):
        return [f"{name} was asked for {log['peak_bytes']} of {log['capacity_bytes']} bytes"
                for name, log in self.engines.items()
                if log["overcommitting_loads"] or log["peak_bytes"] > log["capacity_bytes"]]

    def check_r3(self):
        broken = []
        for name, answer in self.answers.items():
            if answer["code"] == "no_connection":
                broken.append(f"no answer: {self.show(answer)}")
            if answer["status"] in (429, 503) and not answer["retry_after"]:
                broken.append(f"no Retry-After: {self.show(answer)}")
            if not answer["whole"] and answer["code"] in ("", "connection_lost", "timeout") and (
                    answer["instance"] != self.facts["killed_port"]):
                broken.append(f"incomplete answer: {self.show(answer)}")
            refused_late = answer["status"] >= 400 and answer["latency_ms"] > (
                self.requests[name]["deadline_ms"] + 1000)
            if refused_late:
                broken.append(f"refused after its deadline: {self.show(answer)}")
        for phase in ("chat streams", "cold adapters", "public route", "leaving backend"):
            broken += [f"not served: {self.show(answer)}"
                       for answer in self.answers_of(self.scenario.phases[phase])
                       if answer["status"] != 200 or not answer["whole"]]
        return broken

    def check_r4(self):
        return [f"{self.show(answer)}, ran {self.runs[answer['reference']]} times"
                for answer in self.answers_of(self.facts["foreign"])
                if answer["status"] != 401 or self.runs[answer["reference"]]]

    def check_r5(self):
        return [f"{name} saw an Authorization header"
                for name, log in (self.engines | self.plain).items()
                if log["authorization_headers"]]

    def check_r6(self):
        broken = [f"stream not ended by an error event: {self.show(answer)}"
                  for answer in self.answers_of(self.facts["withdrawn_streams"])
                  if answer["code"] != "key_withdrawn"]
        if self.facts["streams_ended_s"] > settings.CHANGE_LIMIT_S:
            broken.append(f"streams ended after {self.facts['streams_ended_s']:.1f} s")
        broken += [f"{self.show(answer)}, ran {self.runs[answer['reference']]} times"
                   for answer in self.answers_of(self.facts["after_withdrawal"])
                   if answer["status"] != 401 or self.runs[answer["reference"]]]
        return broken

    def check_r7(self):
        answers = self.answers_of(self.facts["rate_requests"])
        served = sum(answer["tokens"] for answer in answers)
        allowed = settings.SMALL_BURST + settings.SMALL_RATE * self.facts["rate_window_s"]
        broken = []
        if served > allowed:
            broken.append(f"served {served} tokens, {allowed:.0f} allowed")
        if all(answer["status"] == 200 for answer in answers):
            broken.append("nothing was refused, so the rate was not tried")
        if served == 0:
            broken.append("nothing was served within the burst")
        return broken

    def content(self, answer):
        """Returns the text of a chat answer."""
        if not answer["stream"]:
            return json.loads(answer["body"])["choices"][0]["message"]["content"]
        chunks = [json.loads(line[6:]) for line in answer["body"].split("\n")
                  if line.startswith("data: {")]
        return "".join(choice["delta"].get("content", "")
                       for chunk in chunks for choice in chunk.get("choices", []))

    def check_r8(self):
        broken = []
        for name, answer in self.answers.items():
            asked = self.requests[name]
            if answer["status"] != 200 or not answer["whole"]:
                continue
            if asked["path"] == CHAT:
                wanted = "".join(f"t{number} " for number in range(asked["max_tokens"]))
                right = answer["code"] or self.content(answer) == wanted
            else:
                right = json.loads(answer["body"])["reference"] == asked["reference"]
            if not right:
                broken.append(f"answer to another request, or not whole: {self.show(answer)}")
        return broken

    def check_r9(self):
        # A request may be sent again in a later phase, so each phase is checked against its own
        # executions. The check over all phases finds requests that ran after their phase.
        broken = self.false_claims(self.answers.values(), collections.Counter(), self.runs)
        before = collections.Counter()
        for phase, after in self.scenario.runs_after.items():
            broken += self.false_claims(self.answers_of(self.scenario.phases[phase]), before, after)
            before = after
        return sorted(set(broken))

    @staticmethod
    def false_claims(answers, before, after):
        claims = collections.defaultdict(set)
        for answer in answers:
            claims[answer["reference"]].add(answer["ran"])
        return [f"{reference} was refused as not-run, but ran"
                for reference, claimed in claims.items()
                if claimed == {"not-run"} and after[reference] > before[reference]]

    def check_r10(self):
        once = {asked["reference"] for asked in self.requests.values()
                if "idempotency_key" in asked}
        broken = [f"{reference} ran {self.runs[reference]} times"
                  for reference in sorted(once) if self.runs[reference] > 1]
        for fact, status in (("other_body", 422), ("no_key", 400)):
            answer = self.answers[self.facts[fact]]
            if answer["status"] != status:
                broken.append(f"{fact}: {self.show(answer)}, {status} expected")
        served = {answer["reference"] for answer in self.answers.values()
                  if answer["status"] == 200}
        broken += [f"{reference} was answered and never ran"
                   for reference in sorted(once & served) if not self.runs[reference]]
        return broken

    def check_r11(self):
        ran = self.plain[self.facts["leaving"]]["by_reference"]
        return [f"{reference} ran at the leaving server"
                for reference in self.facts["leaving_references"] if reference in ran]

    def check_r12(self):
        broken = [f"interrupted: {self.show(answer)}"
                  for answer in self.answers_of(self.facts["graceful"])
                  if answer["status"] != 200 or not answer["whole"] or answer["code"]]
        if self.facts["drain_status"] != 0:
            broken.append(f"the daemon ended with {self.facts['drain_status']}")
        return broken

    def check_r13(self):
        broken = list(self.facts["reverted"])
        broken += [f"change {change['name']} took {change['taken_s']:.1f} s"
                   for change in self.facts["changes"]
                   if change["taken_s"] > settings.CHANGE_LIMIT_S]
        return broken
