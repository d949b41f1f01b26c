#!/usr/bin/env bash
# Configures and builds into build/ (or $BUILD_DIR); arguments go to cmake.
# The compiler cache serves all checkouts alike.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$root/build}
export CCACHE_BASEDIR=$root CCACHE_NOHASHDIR=1
mkdir -p "$build"
cmake -S "$root" -B "$build" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache "$@" >"$build/configure.log" 2>&1 ||
  { cat "$build/configure.log"; exit 1; }
cmake --build "$build"
