#!/bin/sh
# The stand-ins of cases 6 to 10 are in review/lib-2 and need the standard library only; there is nothing
# to build. This checks that they can be imported.
cd "$(dirname "$0")" && exec python3 -B -c 'import sys; sys.path.insert(0, "lib-2"); import rig'
