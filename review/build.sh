#!/usr/bin/env bash
# Checks what the cases need. The stand-ins in review/support are Python and
# use only the libraries that the build command of deploy/system.toml installs.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps/aiohttp || {
    echo 'target/deps is missing: run the build command of deploy/system.toml' >&2
    exit 1
}
PYTHONPATH=target/deps python3 -m py_compile review/support/*.py review/*/case.py
