#!/bin/sh
# Builds what the scripts of cases 4 to 8 start beside the project's programs. The stand-ins are plain JavaScript files in lib2/
# and in the cases; there is nothing to compile, so that this only checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in lib2/*.mjs [4-8]/*.mjs; do
  [ -f "$file" ] && node --check "$file"
done
exit 0
