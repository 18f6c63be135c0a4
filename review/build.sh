#!/bin/sh
# The stand-ins of the cases are plain modules of Node.js (review/lib) and need no build; this checks that they can be read.
cd "$(dirname "$0")" && for f in lib/*.mjs */case.mjs; do node --check "$f" || exit 1; done
