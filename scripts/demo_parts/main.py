"""Runs the demo; see scripts/demo."""

import argparse
import collections
import shutil
import signal
import sys
import time

import settings
from fleet import DemoError, Fleet
from promises import PromiseChecker
from scenario import Scenario

MAX_SHOWN_FAILURES = 5


def print_phases(scenario, checker):
    """Prints for each phase the requests sent, the executions and the outcomes."""
    print(f"\n{'phase':28} {'asked':>5}  {'ran':>4}  came back")
    for name, ids in scenario.phases.items():
        outcomes = collections.Counter()
        for answer in (scenario.answers[request] for request in ids):
            label = str(answer["status"] or "none")
            outcomes[f"{label} {answer['code']}".strip()] += 1
        references = {scenario.requests[request]["reference"] for request in ids}
        ran = sum(checker.runs[reference] for reference in references)
        shown = ", ".join(f"{count} x {label}" for label, count in sorted(outcomes.items()))
        print(f"{name:28} {len(ids):5}  {ran:4}  {shown}")


def print_standins(scenario, checker):
    print(f"\n{'runner':12} {'loads':>5} {'unloads':>7} {'peak MiB':>8} {'of MiB':>6} "
          f"{'crashes':>7} {'cancels':>7}")
    for name, log in checker.engines.items():
        done = collections.Counter(order["action"].split("_")[0] for order in log["orders"]
                                   if order["result"] == "done")
        print(f"{name:12} {done['load']:5} {done['unload']:7} {log['peak_bytes'] >> 20:8} "
              f"{log['capacity_bytes'] >> 20:6} {log['crashes']:7} {log['cancels']:7}")
    weights = scenario.fleet.platform["weights"].log()
    table = scenario.fleet.platform["table"].log()
    print(f"weight store: {weights['models']['started']} checkpoints, at most "
          f"{weights['models']['highest_in_flight']} at once; "
          f"{weights['adapters']['started']} adapters, at most "
          f"{weights['adapters']['highest_in_flight']} at once")
    print(f"table: {table['commits']} commits, {table['refusals']} refused, "
          f"{table['reads']} reads")


def print_promises(checks):
    """Prints the result for every promise; returns whether all were kept."""
    print()
    for name, broken in checks.items():
        print(f"{name:4} {'BROKEN' if broken else 'kept'}")
        for fault in broken[:MAX_SHOWN_FAILURES]:
            print(f"     {fault}")
        if len(broken) > MAX_SHOWN_FAILURES:
            print(f"     and {len(broken) - MAX_SHOWN_FAILURES} more")
    return not any(checks.values())


def run(program):
    with Fleet(program) as fleet:
        scenario = Scenario(fleet)
        scenario.run()
        checker = PromiseChecker(scenario)
        print_phases(scenario, checker)
        print_standins(scenario, checker)
        return print_promises(checker.checks())


def main():
    parser = argparse.ArgumentParser(prog="scripts/demo")
    parser.add_argument("--daemon", default=settings.DAEMON, help="program of the daemon")
    parser.add_argument("--keep-output", action="store_true",
                        help="keep traces, answers and logs in out/demo")
    options = parser.parse_args()
    shutil.rmtree(settings.OUTPUT, ignore_errors=True)
    settings.OUTPUT.mkdir(parents=True)
    # Raising SystemExit on SIGTERM makes the Fleet end its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    begun = time.monotonic()
    try:
        kept = run(options.daemon)
    except (DemoError, OSError) as failure:
        print(f"demo: {failure}", file=sys.stderr)
        return 2
    print(f"\n{'all promises kept' if kept else 'promises were broken'}, "
          f"{time.monotonic() - begun:.0f} s")
    if kept and not options.keep_output:
        shutil.rmtree(settings.OUTPUT)
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main())
