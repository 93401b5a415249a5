#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts (cases 6 to 10): one program, which
# imports the project's own store stand-in, standin/platformstub.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-lab2 ./review/lab2
