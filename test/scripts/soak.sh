#!/bin/bash
# One short run of the randomized fault soak (test/soak/soak.py) with a fixed seed, which compares
# what callers got with what upstreams ran. Guards, under overlapping faults, against a request that
# runs twice or runs although it was refused, two owners of a key, and a deployment that does not
# recover.
# shellcheck shell=bash
cd "$(dirname "$0")/../.." || exit 1
python3 test/soak/soak.py --seed 10 --seconds 12 >"${TMPDIR:-/tmp}/soak-$$.out" 2>&1
code=$?
cat "${TMPDIR:-/tmp}/soak-$$.out"
rm -f "${TMPDIR:-/tmp}/soak-$$.out"
exit $code
