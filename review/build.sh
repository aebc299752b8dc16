#!/bin/sh
# The stand-ins of all cases are Python programs, also the project's own ones that they use.
# Nothing has to be built; this checks that they can be read by the interpreter.
cd "$(dirname "$0")/.." || exit 1
exec python3 -B -c '
import ast, pathlib
for path in [*pathlib.Path("review").rglob("*.py"), *pathlib.Path("standins").glob("*.py")]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
'
