#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code after a change of the schema. The build itself needs no generator.
set -euo pipefail
cd "$(dirname "$0")/../src/wire"
flatc --cpp --gen-object-api --cpp-std c++17 --scoped-enums mangoquay.fbs
# Sources that include the generated header are linted; its names are the generator's.
{
    echo "// NOLINTBEGIN"
    cat mangoquay_generated.h
    echo "// NOLINTEND"
} > mangoquay_generated.h.new
mv mangoquay_generated.h.new mangoquay_generated.h
