#!/usr/bin/env bash
# Builds and measures; one JSON line a measure.
# Usage: tools/measure.sh --list | NAME | all
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
"$root/tools/install.sh" >&2
"$root/tools/build.sh" >&2
exec "${BUILD_DIR:-$root/build}/bench/measure" "${@:-all}"
