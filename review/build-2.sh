#!/usr/bin/env bash
# Builds what the scripts of this review start beside the deploy file's build:
# the stand-ins are Python modules, which are compiled and imported once.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/shared_2 lagoonring
PYTHONPATH=target/deps:. python3 -S -c "import review.shared_2.cases"
