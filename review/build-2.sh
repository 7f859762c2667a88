#!/bin/sh
# Builds the stand-ins of review/6 to review/10 after the build of the deploy file: they are plain JavaScript without dependencies, so
# this only checks that they parse and that the program which they start is there.
set -e
cd "$(dirname "$0")"
test -f ../target/lagoonswitch.cjs
for file in lib-2/*.mjs lib-3/*.mjs [6-9]/*.mjs 10/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
