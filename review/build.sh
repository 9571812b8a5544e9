#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs in review/rig, so there is nothing to compile. Checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B -c 'import sys; sys.path.insert(0, "review/rig"); import rig'
