#!/usr/bin/env bash
set -euo pipefail
packages=(
  g++ cmake ninja-build pkg-config ccache clang-format clang-tidy patch
  libboost-dev libboost-system-dev
  libtclap-dev liblog4cxx-dev libcpputest-dev libabsl-dev
  libmsgpack-cxx-dev libjansson-dev libsqlite3-dev libtomlplusplus-dev
)
missing=()
for name in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$name" 2>/dev/null | grep -q 'install ok installed' || missing+=("$name")
done
if [ "${#missing[@]}" -eq 0 ]; then
  echo "dependencies: all present"
  exit 0
fi
export DEBIAN_FRONTEND=noninteractive
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -q
"${as_root[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
