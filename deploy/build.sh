#!/usr/bin/env bash
# Puts the libraries and our packages into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
if ! [ target/.libraries -nt constraints.txt ]; then
    python3 -m pip install -q -U --target "$deps" -c constraints.txt -r deploy/requirements.txt
    touch target/.libraries
fi
for package in packages/core/crocuswell_core packages/daemon/crocuswell_daemon \
    platform/crocuswell_platform; do
    rm -rf "${deps:?}/$(basename "$package")"
    cp -r "$package" "$deps/"
done
python3 -m compileall -q -o 0 -o 2 "$deps"
