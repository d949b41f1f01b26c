#!/usr/bin/env bash
# Installs the Debian packages that the project declares in tools/packages.txt.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
mapfile -t packages < <(grep -v '^#' "$here/packages.txt")
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then exit 0; fi
as_root=()
if [ "$(id -u)" -ne 0 ]; then as_root=(sudo); fi
"${as_root[@]}" apt-get update -q
"${as_root[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
