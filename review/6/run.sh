#!/bin/bash
# Two regions lose each other. TROUBLE=0: they do not.
PYTHONDONTWRITEBYTECODE=1 exec python3 "$(dirname "${BASH_SOURCE[0]}")/case.py"
