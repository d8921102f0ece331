#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code after a change of the schema, so that the build needs no
# generator.
set -euo pipefail
cd "$(dirname "$0")/../src/wire"
flatc --cpp --gen-object-api --cpp-std c++17 --scoped-enums mangoquay.fbs
# Excludes the generated header from linting: the linter reads it through the sources that include it, and
# its names follow the generator's style.
{
    echo "// NOLINTBEGIN"
    cat mangoquay_generated.h
    echo "// NOLINTEND"
} > mangoquay_generated.h.new
mv mangoquay_generated.h.new mangoquay_generated.h
