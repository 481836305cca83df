#!/usr/bin/env bash
# The stand-ins are plain modules, so there is nothing to compile: this checks
# that they can be loaded, and that the program of the deploy file is built.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for file in review/*.mjs review/*/*.mjs; do
	node --check "$file"
done
test -f target/catkindale.cjs
