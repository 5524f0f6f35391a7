#!/usr/bin/env bash
# Builds the programs of all scripts, with their stand-ins, to target/review/.
# The deploy file's build has to come first: it installs esbuild.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/*/case.ts; do
  number=$(basename "$(dirname "$source")")
  node_modules/.bin/esbuild "$source" --bundle --platform=node \
    --target=node20 --format=esm --log-level=warning \
    --outfile="target/review/$number.mjs"
done
