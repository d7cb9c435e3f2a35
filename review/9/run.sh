#!/usr/bin/env bash
# Shows case 9; see claim.txt.
cd "$(dirname "$0")"
exec node play.mjs
