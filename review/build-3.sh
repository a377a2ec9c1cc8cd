#!/bin/bash
# Builds what the scripts review/11 to review/15 start beside the project's programs.
# Their stand-ins (review/kit-3/lab3.py) need nothing but the standard library, so this
# only checks that they compile and that the build of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -S - review/kit-3/lab3.py review/1[1-5]/case.py <<'PY'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for name in sys.argv[1:]:
    if "[" not in name:
        compile(Path(name).read_text(), name, "exec")
PY
[ -d target/deps ] || { echo "target/deps is missing: run the build of deploy/system.toml" >&2; exit 1; }
