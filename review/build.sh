#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs that use the
# standard library only: this checks that they compile.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null
python3 - <<'EOF'
import glob
for path in sorted(glob.glob("*.py") + glob.glob("*/*.py")):
    with open(path, encoding="utf8") as source:
        compile(source.read(), path, "exec")
    print(f"{path}: compiles")
EOF
