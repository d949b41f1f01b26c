#!/usr/bin/env bash
# Fails when a layer includes a layer above it, or coordination or state
# includes a socket, codec or logging library.
set -euo pipefail
cd "$(dirname "$0")/.."
status=0
deny() {
  local layer=$1 pattern=$2 reason=$3 found
  found=$(grep -rnE "#include [<\"]($pattern)" "include/banyanknot/$layer" "src/$layer" || true)
  if [ -n "$found" ]; then
    printf '%s\n%s: %s\n' "$found" "$layer" "$reason" >&2
    status=1
  fi
}
deny state 'banyanknot/(coordination|protocol|transport)/|(coordination|protocol|transport)/' 'includes a layer above it'
deny coordination 'banyanknot/(protocol|transport)/|(protocol|transport)/' 'includes a layer above it'
deny protocol 'banyanknot/transport/|transport/' 'includes a layer above it'
for layer in state coordination; do
  deny "$layer" 'boost/(asio|beast|log)|nlohmann|flatbuffers|valijson|prometheus|sys/socket' 'must stay free of bytes and sockets'
done
deny protocol 'boost/(asio|beast)|sys/socket' 'must stay free of sockets'
exit $status
