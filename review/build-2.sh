#!/usr/bin/env bash
# Builds the stand-ins of the project that the scripts in review/6 to review/10
# start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run -s build
