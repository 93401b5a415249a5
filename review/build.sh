#!/usr/bin/env bash
# Builds the programs that the scripts of the cases start, beside the program under
# test (which the build line of deploy/system.toml puts into target/).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/standins/...
