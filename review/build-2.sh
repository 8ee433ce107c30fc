#!/bin/sh
# Nothing has to be compiled: all stand-ins are Python and use the libraries
# that the build of the deploy file puts under target/deps. This checks that
# they can be loaded.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.:review/common-2 \
    exec python3 -c 'import harness'
