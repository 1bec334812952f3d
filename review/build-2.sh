#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the build of the deploy file. It needs no network beyond what that build needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=0 go build -tags review2 -o bin/standins-2 ./review/standins-2
