# play RECORD RULE SCENARIO plays a scenario of the project's emulator on loopback and the
# real clock, with the controllers as processes of their own. It writes the file RECORD
# and returns 1 if the emulator's checker found RULE broken, 0 if the rule held, and 2 if
# the case could not run. To be sourced by the scripts of the cases.

# free_base prints the first of 24 consecutive ports on which nothing listens.
free_base() {
  local base port
  for _ in $(seq 50); do
    base=$((20000 + RANDOM % 10000))
    for port in $(seq "$base" $((base + 23))); do
      if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then continue 2; fi
    done
    echo "$base"
    return 0
  done
  return 1
}

play() {
  local record=$1 rule=$2 scenario=$3 dir base group=
  [ -x target/zinclb ] && [ -x target/zinclb-emulator ] || return 2
  base=$(free_base) || return 2
  dir=$(mktemp -d) || return 2
  printf '%s\n' "$scenario" >"$dir/scenario.txtpb"
  # A session of its own, so that all processes that the emulator starts can be ended.
  setsid target/zinclb-emulator --scenario "$dir/scenario.txtpb" --binary target/zinclb \
    --dir "$dir" --port "$base" --history "$dir/history" >"$dir/out" 2>&1 &
  group=$!
  trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$dir"; trap - RETURN' RETURN
  trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$dir"; exit 2' INT TERM
  for _ in $(seq 234); do
    kill -0 "$group" 2>/dev/null || break
    sleep 0.5
  done
  {
    echo "# The scenario:"
    cat "$dir/scenario.txtpb"
    echo "# The emulator's report:"
    cat "$dir/out"
    echo "# What was sent (sent), answered (told) and run (given: the machine has the task;"
    echo "# entered: it has its image; started, left, completed), times in microseconds:"
    grep -v '"kind":"stored"' "$dir/history"
  } >"$record" 2>/dev/null
  # It has to have come to its end, and the users' jobs to have been accepted.
  if kill -0 "$group" 2>/dev/null || ! grep -q '"op":"submit".*"status":201' "$dir/history"; then
    return 2
  fi
  if grep -q "^broken at .* $rule: " "$dir/out"; then return 1; fi
  grep -q 'events, no rule broken$\|breaches of the rules$' "$dir/out" || return 2
  return 0
}
