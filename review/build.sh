#!/usr/bin/env bash
# Build the stand-ins of the cases. They use the standard library only, so this checks
# that each of them compiles.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/common review/[0-9]*/
