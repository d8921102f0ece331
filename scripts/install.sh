#!/usr/bin/env bash
# Installs the Debian packages that building, testing and linting need.
set -euo pipefail
packages=(g++ cmake ninja-build pkg-config ccache curl jq clang-format clang-tidy flatbuffers-compiler
    libulfius-dev libmicrohttpd-dev libgnutls28-dev libpq-dev zlib1g-dev libcurl4-gnutls-dev libeasyloggingpp-dev libflatbuffers-dev
    libboost-dev nlohmann-json3-dev libcppunit-dev librapidcheck-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
