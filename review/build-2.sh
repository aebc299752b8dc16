#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. All of them are Python
# programs, so this only checks that they compile.
cd "$(dirname "$0")/.." || exit 2
exec python3 -B - <<'END'
from pathlib import Path

for folder in ("standins", "review/common-2", *(f"review/{number}" for number in range(6, 11))):
    for source in sorted(Path(folder).glob("*.py")):
        compile(source.read_text(encoding="utf-8"), str(source), "exec")
END
