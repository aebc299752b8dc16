#!/usr/bin/env bash
# Prepares the scripts of this review. Their stand-ins are Python programs of this repository, which
# need no compilation; this checks that they can be read and that the deployed program is built.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/carawayturn-entry
python3 -B - <<'CHECK'
import ast
from pathlib import Path

for folder in ("standins", "review/common-3", "review/11", "review/12", "review/13", "review/14",
               "review/15", "review/beside-3"):
    for source in sorted(Path(folder).glob("*.py")):
        ast.parse(source.read_text(encoding="utf-8"), str(source))
CHECK
