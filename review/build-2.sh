#!/bin/sh
# The stand-ins of cases 6 to 10 are Python programs without a build. Checks that they can be read.
cd "$(dirname "$0")" || exit 1
exec python3 -c '
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
' rig-2/rig.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py
