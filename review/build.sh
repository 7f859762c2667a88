#!/usr/bin/env bash
# The stand-ins of the scripts (review/lib) are plain JavaScript on Node.js without dependencies: nothing has to be built.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */main.mjs; do node --check "$file"; done
