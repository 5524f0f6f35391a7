#!/usr/bin/env bash
# Builds the cases of the second review, with their stand-ins, to
# target/review-2/. The deploy file's build has to come first.
set -euo pipefail
cd "$(dirname "$0")/.."
for number in 6 7 8 9; do
  node_modules/.bin/esbuild "review/$number/case.ts" --bundle --platform=node \
    --target=node20 --format=esm --log-level=warning \
    --outfile="target/review-2/$number.mjs"
done
