#!/bin/bash
# One short seeded run of the fault soak (test/soak): what callers got against what upstreams ran.
# Guards against repeats, false refusals, two owners of a key, and a deployment that does not
# recover, under faults that overlap.
# shellcheck shell=bash
cd "$(dirname "$0")/../.." || exit 1
python3 test/soak/soak.py --seed 10 --seconds 12 >"${TMPDIR:-/tmp}/soak-$$.out" 2>&1
code=$?
cat "${TMPDIR:-/tmp}/soak-$$.out"
rm -f "${TMPDIR:-/tmp}/soak-$$.out"
exit $code
