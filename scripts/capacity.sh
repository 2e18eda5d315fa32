#!/usr/bin/env bash
# Measures what an entry VM costs with separate processes on loopback: processor time, resident memory, bytes to and
# from workers, and calls of the store, against the number of workers, tasks, entry VMs and organisations.
# Needs bin/clementinepier and bin/standin. Output goes to capacity-out/.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly OUT=capacity-out
readonly BASE_PORT=${BASE_PORT:-19000}
readonly SECONDS_MEASURED=${SECONDS_MEASURED:-6}
readonly PLATFORM=127.0.0.1:$BASE_PORT
readonly RACK_SIZE=8

. scripts/processes.sh

clean() { # ends the processes of one scenario
  local name
  for name in "${!PIDS[@]}"; do kill -s KILL "${PIDS[$name]}" 2>/dev/null || true; done
  for name in "${!PIDS[@]}"; do wait "${PIDS[$name]}" 2>/dev/null || true; done
  PIDS=()
}

write_bundle() { # WORKERS ORGANISATIONS
  local i
  echo 'revision = 1'
  for ((i = 1; i <= $2; i++)); do
    printf '[[organisations]]\nname = "org-%d"\ntoken-digest = "%s"\nweight = 1\n' "$i" "$(printf 'token-%d' "$i" | sha256sum | cut -d ' ' -f 1)"
    printf '[[organisations.guarantees]]\nname = "one"\ncount = 1\nshape = {tasks = 1, accelerators = 4, slots = 1}\n'
    printf '[[organisations.limits]]\nservice = "match"\nrequests-per-second = 100000.0\nrunning = 100000\n'
  done
  printf '[[failure-domains]]\nname = "near"\nregion = "north"\n'
  for ((i = 0; i * RACK_SIZE < $1; i++)); do
    printf '[[failure-domains.racks]]\nname = "near-r%d"\nworkers = %d\nslots = 32\naccelerators = 32\n' "$((i + 1))" \
      "$(($1 - i * RACK_SIZE < RACK_SIZE ? $1 - i * RACK_SIZE : RACK_SIZE))"
  done
  printf '[[services]]\nname = "match"\ndefault-timeout = "60s"\nmax-timeout = "120s"\nmax-payload = 1000000\n'
}

cpu_of() { awk '{print $14 + $15}' "/proc/$1/stat"; } # in ticks of 10 ms

# calls_of prints the calls of the store so far, all kinds together; a watch counts as one call.
calls_of() { bin/standin call "$PLATFORM" /admin/calls | grep -o '[0-9]\+' | awk '{n += $1} END {print n + 0}'; }

total_cpu() {
  local i sum=0
  for ((i = 1; i <= $1; i++)); do sum=$((sum + $(cpu_of "${PIDS[entry-$i]}"))); done
  echo "$sum"
}

begin() { # WORKERS ENTRY-VMS ORGANISATIONS: starts the processes of one scenario
  local i
  start platform bin/standin platform --address "$PLATFORM" --lag 10ms
  await_port platform "$PLATFORM"
  start fleet bin/standin fleet --port $((BASE_PORT + 1000)) --platform "$PLATFORM" --count "$1" --rack-size "$RACK_SIZE" \
    --failure-domain near --traffic "$OUT/traffic"
  await_port fleet "127.0.0.1:$((BASE_PORT + 1000 + $1 - 1))"
  rm -f "$OUT/bundle.signed"
  write_bundle "$1" "$3" >"$OUT/bundle.toml"
  bin/clementinepier bundle sign "$OUT/bundle.toml" --key "$OUT/author.key" --out "$OUT/bundle.signed" >/dev/null
  bin/clementinepier bundle review "$OUT/bundle.signed" --key "$OUT/reviewer.key" --first >"$OUT/review.txt"
  for ((i = 1; i <= $2; i++)); do
    write_settings "entry-$i" near "127.0.0.1:$((BASE_PORT + 500 + i))" "127.0.0.1:$((BASE_PORT + 600 + i))"
    start "entry-$i" bin/clementinepier entry --settings "$OUT/entry-$i.toml"
    bin/standin call "$PLATFORM" /admin/vms/add "{\"name\": \"entry-$i\", \"kind\": \"entry\", \"failure-domain\": \"near\",
      \"address\": \"127.0.0.1:$((BASE_PORT + 600 + i))\"}" >/dev/null
  done
  await_port entry-1 "127.0.0.1:$((BASE_PORT + 501))"
  bin/clementinepier bundle roll "$OUT/bundle.signed" --entry "127.0.0.1:$((BASE_PORT + 501))" >/dev/null 2>&1
  sleep 3
}

scenario() { # WORKERS TASKS-PER-WORKER ENTRY-VMS ORGANISATIONS
  local i cpu bytes calls memory=0 tasks=$(($1 * $2)) t=$SECONDS_MEASURED
  begin "$1" "$3" "$4"
  if ((tasks > 0)); then
    start load bin/standin load --entry "127.0.0.1:$((BASE_PORT + 501))" --organisation org-1=token-1 --service match \
      --requests "$tasks" --rate 400 --timeout 60s --max-run-time 2h --gang-share 0 --non-idempotent-share 0 --urgent-share 0 \
      --connections 2000 --results "$OUT/results.jsonl"
    sleep $((tasks / 400 + 2))
  fi
  cpu=$(total_cpu "$3") bytes=$(cat "$OUT/traffic") calls=$(calls_of)
  sleep "$t"
  cpu=$(($(total_cpu "$3") - cpu)) bytes=$(($(cat "$OUT/traffic") - bytes)) calls=$(($(calls_of) - calls))
  for ((i = 1; i <= $3; i++)); do
    memory=$((memory + $(awk '/VmRSS/ {print $2}' "/proc/${PIDS[entry-$i]}/status")))
  done
  awk -v w="$1" -v k="$2" -v e="$3" -v o="$4" -v c="$cpu" -v b="$bytes" -v s="$calls" -v m="$memory" -v t="$t" 'BEGIN {
    printf "%7d %12d %9d %13d %14.2f %12.1f %18.0f %14.1f\n", w, k, e, o, c / t / e, m / 1024 / e, b / t / w, s / t / e }'
  clean
}

kinds_of() { bin/standin call "$PLATFORM" /admin/calls | tr -d '{}" ' | tr ',:' '\n ' | sort; }

# changes measures the store's calls by kind at rest, then what changes of the configuration add.
changes() { # ENTRY-VMS CHANGES
  local i state cpu idle began t=$SECONDS_MEASURED
  begin 50 "$1" 4
  kinds_of >"$OUT/kinds-1" && idle=$(total_cpu "$1")
  sleep "$t"
  kinds_of >"$OUT/kinds-2" && idle=$(($(total_cpu "$1") - idle))
  echo "calls of the store a second for each of $1 entry VMs, at rest:"
  join "$OUT/kinds-1" "$OUT/kinds-2" | awk -v t="$t" -v e="$1" '$3 > $2 {printf "  %s %.2f\n", $1, ($3 - $2) / t / e}'
  cpu=$(total_cpu "$1") began=$(date +%s%N)
  for ((i = 1; i <= $2; i++)); do
    state=$((i % 2)) && state=${state/0/back} && state=${state/1/out}
    bin/clementinepier domain "$state" near --key "$OUT/operator.key" --wait 4s --entry "127.0.0.1:$((BASE_PORT + 501))" >/dev/null 2>&1 ||
      echo "change $i is not confirmed in 4 s"
  done
  t=$((($(date +%s%N) - began) / 1000000)) && cpu=$(($(total_cpu "$1") - cpu))
  kinds_of >"$OUT/kinds-3"
  echo "$2 changes by the command line took $t ms; core percent for each entry VM: $(awk -v c="$cpu" -v t="$t" -v e="$1" -v i="$idle" \
    -v s="$SECONDS_MEASURED" 'BEGIN {printf "%.2f, at rest %.2f", c * 1000 / t / e, i / s / e}')"
  echo "calls of the store while they ran, for each change and all entry VMs together:"
  join "$OUT/kinds-2" "$OUT/kinds-3" | awk -v n="$2" '$3 > $2 {printf "  %s %.1f\n", $1, ($3 - $2) / n}'
  clean
}

main() {
  local role
  rm -rf "$OUT"
  mkdir "$OUT"
  for role in author reviewer operator; do
    bin/clementinepier key new --out "$OUT/$role.key" --role "$role" >/dev/null
  done
  (umask 077 && head -c 32 /dev/urandom | base64 >"$OUT/peer.secret")
  echo "per entry VM, over $SECONDS_MEASURED s; $(nproc) cores; load average $(cut -d ' ' -f 1 /proc/loadavg)"
  echo "workers tasks/worker entry-VMs organisations core-percent/VM  memory MB/VM  bytes/s/worker store calls/s/VM"
  scenario 50 0 1 4
  scenario 100 0 1 4
  scenario 200 0 1 4
  scenario 50 5 1 4
  scenario 50 15 1 4
  scenario 50 25 1 4
  scenario 50 0 4 4
  scenario 50 0 8 4
  scenario 50 0 16 4
  scenario 50 0 1 50
  scenario 50 0 1 200
  changes 8 20
}

main
