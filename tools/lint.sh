#!/usr/bin/env bash
# Runs clang-tidy over every source file in parallel. A file that passed is
# not read again until it, a header or the configuration changes.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$root/build}
cache=${BANYANKNOT_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/banyanknot-lint}
mkdir -p "$cache"
cd "$root"
lint_one() {
  local file=$1 key
  key=$( { cat .clang-tidy; g++ -std=c++17 -MM -Iinclude -Isrc -Istandins -Idaemons -Ictl -I. -Itest "$file" 2>/dev/null |
    tr -d '\\' | tr ' ' '\n' | grep -E '^(include|src|standins|daemons|ctl|platform|test|bench)/' | sort -u | xargs cat; echo "$file"; } | sha256sum | cut -d' ' -f1)
  if [ -e "$cache/$key" ]; then return 0; fi
  if clang-tidy --quiet -p "$build" "$file" >"$cache/$key.out" 2>/dev/null; then
    mv "$cache/$key.out" "$cache/$key"
  else
    cat "$cache/$key.out" >&2
    rm -f "$cache/$key.out"
    return 1
  fi
}
export -f lint_one
export cache build
if [ $# -gt 0 ]; then files=("$@"); else
  mapfile -t files < <(git ls-files -co --exclude-standard 'src/*.cc' 'daemons/*.cc' 'standins/*.cc' 'ctl/*.cc' 'platform/*.cc')
fi
printf '%s\n' "${files[@]}" | xargs -P "${BANYANKNOT_JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
