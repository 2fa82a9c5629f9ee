#!/bin/sh
# Builds the stand-ins of the scripts: compiles them and checks that they import with
# the run-time packages of the deploy file alone.
set -eu
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX=target/review-cache PYTHONPATH=target/deps:review \
    python3 -S -c "import shared.cases, shared.deployment, shared.link, shared.platform, shared.requesters, shared.servers"
