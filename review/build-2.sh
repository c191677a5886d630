#!/bin/bash
# Builds what the scripts of the cases 6 to 9 start: the gateway, by the command of the deploy file.
# Their stand-ins (review/stand_ins_2.py, review/N/case.py) are Python and run as they are.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
sh -c "$build"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
PYTHONDONTWRITEBYTECODE=1 python3 - <<'END'
import ast, glob
for path in ["review/stand_ins_2.py"] + glob.glob("review/[6-9]/case.py"):
    ast.parse(open(path).read(), path)
END
