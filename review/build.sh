#!/usr/bin/env bash
# The stand-ins are plain modules that Node runs as they are; this only checks
# that each can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */play.mjs; do node --check "$file"; done
