#!/bin/sh
# The stand-ins and the cases are Python and use the standard library alone.
# There is nothing to compile; this checks that each file can be read.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print(f"{path}: read")
CHECK
