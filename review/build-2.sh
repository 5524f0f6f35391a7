#!/usr/bin/env bash
# Builds the stand-ins and scripts of the second review to target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild review/harness-2/case_*.ts --bundle --platform=node \
  --target=node20 --format=esm --out-extension:.js=.mjs --log-level=warning \
  --outdir=target/review-2
