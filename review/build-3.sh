#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start besides the deploy file's program:
# the stand-ins of the platform, of servers and of consumers, which are one program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/lab3 ./review/lab3
