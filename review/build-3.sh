#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15, with all stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/1[1-5]/case.ts; do
  name="$(basename "$(dirname "$source")")"
  node_modules/.bin/esbuild "$source" --bundle --platform=node \
    --target=node20 --format=esm --log-level=warning \
    --outfile="target/review-3/$name.mjs"
done
