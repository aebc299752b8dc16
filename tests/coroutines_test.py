"""Checks that no condition contains co_await.

GCC before 12.3 stores the condition's value over the start of the coroutine frame if the
function has no local variable (GCC bug 106188). The next resumption then jumps to a wrong
address. An answer with another request's id crashed the process in this way.

Usage: coroutines_test.py [SOURCE_FOLDER]
"""

import re
import sys
import unittest
from pathlib import Path

CONDITION = re.compile(r"\b(?:if|while|switch) \(")
SOURCE_FOLDER = Path(__file__).resolve().parent.parent / "src"


def closing_parenthesis(text: str, opening: int) -> int:
    """Returns the position of the parenthesis that closes the one at `opening`."""
    depth = 0
    for position in range(opening, len(text)):
        depth += {"(": 1, ")": -1}.get(text[position], 0)
        if depth == 0:
            return position
    return len(text)


def awaiting_conditions(text: str) -> list[int]:
    """Returns the line numbers of conditions that contain co_await.

    A condition that declares a variable is safe, since the value has its own place in the frame,
    unless the value is chosen by a conditional operator."""
    lines = []
    for found in CONDITION.finditer(text):
        opening = text.index("(", found.start())
        condition = text[opening : closing_parenthesis(text, opening)]
        declares = condition.startswith("(auto ")
        if "co_await" in condition and ("?" in condition or not declares):
            lines.append(text.count("\n", 0, found.start()) + 1)
    return lines


class CoroutinesTest(unittest.TestCase):
    def test_sources_await_in_no_condition(self) -> None:
        """Guards against a process that crashes with an illegal instruction."""
        found = [f"{file.relative_to(SOURCE_FOLDER)}:{line}"
                 for file in sorted(SOURCE_FOLDER.rglob("*.[ch]pp"))
                 for line in awaiting_conditions(file.read_text(encoding="utf-8"))]
        self.assertEqual(found, [])

    def test_awaiting_condition_is_found(self) -> None:
        """Guards against a check that never finds a violation."""
        text = ("if (co_await a())\n    b();\nwhile (x &&\n       (y = co_await c()) == z)\n"
                "if (auto const d = co_await e())\nif (f(g)) co_await h();\n"
                "if (auto const i = j ? co_await k() : l)\n    m();\n")
        self.assertEqual(awaiting_conditions(text), [1, 3, 7])


if __name__ == "__main__":
    if len(sys.argv) > 1:
        SOURCE_FOLDER = Path(sys.argv.pop(1))
    unittest.main()
