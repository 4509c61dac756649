#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15; needs no network. The programs come
# from the build of the deploy file (deploy/build.sh).
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/third review/11 review/12 review/13 review/14 review/15
