#!/usr/bin/env bash
# Fails when the committed FlatBuffers code differs from what its schema gives.
# Says so and passes where flatc is not installed.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v flatc >/dev/null; then
  echo "check_generated: flatc is not installed; not checked" >&2
  exit 0
fi
fresh=$(mktemp -d)
trap 'rm -rf "$fresh"' EXIT
flatc --cpp -o "$fresh" src/protocol/peer.fbs
diff -u src/protocol/peer_generated.h "$fresh/peer_generated.h"
