#!/bin/sh
# The stand-ins are Python sources and need no build: this only checks that they compile and that the build of the
# deploy file has put its packages in place.
set -e
cd "$(dirname "$0")/.."
test -d target/deps
test -f target/programs.bin
python3 -m compileall -q review fakes
