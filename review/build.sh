#!/bin/bash
# Builds what the scripts of the cases start besides the gateway: the stand-in of the platform's store.
# Backends, clients and proxies of the cases are Python (review/harness.py).
set -eu
cd "$(dirname "$0")/.."
make -s -j"$(nproc)" BUILD=target target/bin/standin-rowstore
