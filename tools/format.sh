#!/usr/bin/env bash
# Formats the sources in place; with --check only says what differs.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard '*.h' '*.cc' 'include/banyanknot/[A-Z]*' | grep -v _generated.h)
if [ "${1:-}" = --check ]; then
  clang-format --dry-run -Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
