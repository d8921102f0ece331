#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code after a change of the schema. The build itself needs no generator.
set -euo pipefail
cd "$(dirname "$0")/../src/wire"
flatc --cpp --gen-object-api --cpp-std c++17 --scoped-enums mangoquay.fbs
