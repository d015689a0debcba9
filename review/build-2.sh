#!/usr/bin/env bash
# Cases 6 to 10 need python3 (scripts/install-packages lists it) and its standard library only. Their stand-ins are review/stand-ins-2/harness.py and the
# cases themselves, so nothing is compiled; this checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
python3 -B - stand-ins-2/harness.py [6-9]/case.py 10/case.py <<'PY'
import ast
import sys

for name in sys.argv[1:]:
    ast.parse(open(name).read(), name)
PY
