#!/usr/bin/env bash
# Builds what the scripts of the third review start besides the build of the deploy
# file: the stand-ins of callers, targets and the store, compiled to dist/.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run -s build
