#!/usr/bin/env bash
# Runs an example deployment on loopback and prints one JSON line last.
# Usage: tools/demo.sh [mantaro|prairie] [--seconds N]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
name=mantaro
seconds=40
while [ $# -gt 0 ]; do
  case $1 in
    mantaro | prairie) name=$1 ;;
    --seconds) seconds=$2; shift ;;
    *) echo "usage: tools/demo.sh [mantaro|prairie] [--seconds N]" >&2; exit 2 ;;
  esac
  shift
done
"$root/tools/install.sh" >&2
"$root/tools/build.sh" >&2
build=${BUILD_DIR:-$root/build}
exec "$build/demo" --programs="$build" --example="$root/examples/$name" --seconds="$seconds"
