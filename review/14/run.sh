#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves out
# the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/samphirebeam-edge target/lab3; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the deploy file's build and review/build-3.sh" >&2
    exit 2
  fi
done
exec target/lab3 leaver review/14/record.txt
