#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python modules, which need no
# build; this checks that they can be compiled.
cd "$(dirname "$0")" && python3 - standin2.py replaced.py [6-9]/case.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    with open(path) as text:
        compile(text.read(), path, "exec")
CHECK
