#!/usr/bin/env bash
# Runs an example deployment on its fixed loopback ports until it is
# interrupted, for the lines in docs/INTERFACES.md.
# Usage: tools/serve.sh [mantaro|prairie]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
example=$root/examples/${1:-mantaro}
"$root/tools/install.sh" >&2
"$root/tools/build.sh" >&2
build=${BUILD_DIR:-$root/build}
pids=()
stop() { kill -TERM "${pids[@]}" 2>/dev/null || true; wait; }
trap stop EXIT
trap 'exit 0' INT TERM
"$build/standin_platform" --port=21000 --catalogue="$example/catalogue.json" --hosts="$example/hosts.json" &
pids+=($!)
"$build/standin_backend" --settings="$example/backends.json" >/dev/null &
pids+=($!)
for settings in "$example"/hosts/*.json; do
  "$build/banyanknot_host" --settings="$settings" &
  pids+=($!)
done
wait
