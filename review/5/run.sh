#!/usr/bin/env bash
# Plays the case in eight deployments at the same time and writes record.txt beside this file. Exits
# with 1 if the rule was broken in one of them, 0 if it held in all, 2 if one could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/zinclb ] || [ ! -x target/review-2 ]; then
  echo "not built: the build of deploy/service.toml and review/build-2.sh come first" >&2
  exit 2
fi
export TROUBLE="${TROUBLE:-1}"
folder=$(mktemp -d) || exit 2
plays=()
stop() { [ "${#plays[@]}" -eq 0 ] || kill "${plays[@]}" 2>/dev/null; }
trap stop EXIT
trap 'exit 2' INT TERM
for i in 1 2 3 4 5 6 7 8; do
  mkdir "$folder/$i"
  DEPLOYMENT=$i target/review-2 order "$folder/$i" >"$folder/$i/verdict" 2>&1 &
  plays+=($!)
done
code=0
for _ in "${plays[@]}"; do
  wait -n
  result=$?
  [ "$result" -ne 2 ] || [ "$code" -ne 0 ] || code=2
  if [ "$result" -eq 1 ]; then
    code=1
    break
  fi
done
stop
wait
for i in 1 2 3 4 5 6 7 8; do
  echo "deployment $i: $(cat "$folder/$i/verdict")"
done | tee review/5/record.txt
for i in 1 2 3 4 5 6 7 8; do
  echo "== deployment $i"
  cat "$folder/$i/record.txt"
done >>review/5/record.txt
rm -rf "$folder"
exit "$code"
