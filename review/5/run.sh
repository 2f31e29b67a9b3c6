#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/zinclb ] || [ ! -x target/review-2 ]; then
  echo "not built: the build of deploy/service.toml and review/build-2.sh come first" >&2
  exit 2
fi
export TROUBLE="${TROUBLE:-1}"
exec target/review-2 order review/5
