"""Tests the checks of the demo against a fake daemon.

Usage: demo_test.py ROOT
"""

import os
import re
import subprocess
import sys
import tempfile
import unittest

ROOT = ""
FAKE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "fake_daemon.py")


def start_demo(daemon, **environment):
    with tempfile.TemporaryDirectory() as folder:
        return subprocess.run([f"{ROOT}/scripts/demo", "--no-build", "--daemon", daemon],
                              env=os.environ | {"DEMO_OUTPUT": f"{folder}/out"} | environment,
                              check=False, capture_output=True, text=True)


def run_demo(breaks=""):
    """Returns the exit status, the promises reported as broken, and the output."""
    done = start_demo(FAKE, FAKE_BREAKS=breaks)
    broken = re.findall(r"^(R\d+) +BROKEN", done.stdout, re.MULTILINE)
    return done.returncode, broken, done.stdout + done.stderr


class DemoTest(unittest.TestCase):
    def test_promises_kept_exits_zero(self):
        status, broken, output = run_demo()
        self.assertEqual((status, broken), (0, []), output)

    def test_promises_broken_are_all_reported(self):
        breaks = ["R1", "R4", "R5", "R7", "R8", "R9", "R10", "R11", "R12"]
        status, broken, output = run_demo(",".join(breaks))
        self.assertEqual(status, 1, output)
        self.assertLessEqual(set(breaks), set(broken), output)

    def test_daemon_missing_is_an_error(self):
        self.assertEqual(start_demo("/nowhere").returncode, 2)


if __name__ == "__main__":
    ROOT = sys.argv.pop(1)
    unittest.main()
