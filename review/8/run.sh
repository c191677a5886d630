#!/bin/bash
# A machine that decides over slots is suspended for some seconds. TROUBLE=0: it is not.
PYTHONDONTWRITEBYTECODE=1 exec python3 "$(dirname "${BASH_SOURCE[0]}")/case.py"
