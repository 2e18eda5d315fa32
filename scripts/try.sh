#!/usr/bin/env bash
# Runs the whole system as separate processes on loopback, with failures while load runs, and checks the result.
# Needs bin/clementinepier and bin/standin. Output goes to try-out/. The exit status is 0 if the
# check finds no fault and the load tool and the graceful stop succeed.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly OUT=try-out
readonly SEED=${SEED:-1}
readonly REQUESTS=300
readonly STORE_FAULTS=${STORE_FAULTS:-0} # 1 adds outages of the store and a frozen entry VM
readonly ORDER_WAIT=$((5 + 20 * STORE_FAULTS))s
readonly RATE=20 # requests per second, so the load takes 15 s without failures
readonly MAX_RUN_TIME=2s # long enough that each entry VM has requests in flight when it is killed
readonly DOMAINS=(tunis-a bizerte-b nabeul-c ariana-d)
readonly WORKERS_PER_RACK=4
readonly ENTRIES_PER_DOMAIN=2
readonly BASE_PORT=${BASE_PORT:-17000}
readonly PLATFORM=127.0.0.1:$BASE_PORT
readonly WORKER_PORT=$((BASE_PORT + 100)) # worker i listens on this port + i
readonly ENTRY_PORT=$((BASE_PORT + 200))  # entry VM i serves callers on this port + i
readonly PEER_PORT=$((BASE_PORT + 300))   # and other entry VMs on this port + i
readonly OUT_DOMAIN=nabeul-c
readonly ORGANISATIONS=(register club museum dealer)
readonly SERVICES=(match restore reconcile)

. scripts/processes.sh

# check_ports fails if another process has one of the ports, which would take calls meant for this trial.
check_ports() {
  local i address
  local addresses=("$PLATFORM")
  for ((i = 1; i <= ${#DOMAINS[@]} * WORKERS_PER_RACK; i++)); do addresses+=("127.0.0.1:$((WORKER_PORT + i))"); done
  for ((i = 1; i <= ${#DOMAINS[@]} * ENTRIES_PER_DOMAIN; i++)); do
    addresses+=("127.0.0.1:$((ENTRY_PORT + i))" "127.0.0.1:$((PEER_PORT + i))")
  done
  for address in "${addresses[@]}"; do
    if listens "$address"; then
      say "another process listens on $address"
      return 1
    fi
  done
}

platform_call() { bin/standin call "$PLATFORM" "$@" >/dev/null; }

domain_of_entry() { echo "${DOMAINS[$((($1 - 1) / ENTRIES_PER_DOMAIN))]}"; }

# --- steps that use the command line of clementinepier -------------------------------------------------

key_new() { # NAME ROLE: makes a key pair in $OUT/NAME.key and $OUT/NAME.key.pub
  bin/clementinepier key new --out "$OUT/$1.key" --role "$2"
}

entry_arguments() {
  local i
  for ((i = 1; i <= ${#DOMAINS[@]} * ENTRIES_PER_DOMAIN; i++)); do printf -- '--entry 127.0.0.1:%d ' "$((ENTRY_PORT + i))"; done
}

bundle_sign() { # signs the bundle as its author and as its reviewer
  bin/clementinepier bundle sign "$OUT/bundle.toml" --key "$OUT/author.key" --out "$OUT/bundle.signed"
  bin/clementinepier bundle review "$OUT/bundle.signed" --key "$OUT/reviewer.key" --first >"$OUT/review.txt"
}

bundle_roll() {
  # shellcheck disable=SC2046 # one word per argument
  bin/clementinepier bundle roll "$OUT/bundle.signed" $(entry_arguments)
}

# domain_order STATE DOMAIN sends an order and prints the time of its acknowledgement. Entry VMs that were killed never
# confirm, so that the command ends with an error after its wait; the acknowledgement does not need them.
domain_order() {
  local reply
  # shellcheck disable=SC2046 # one word per argument
  reply=$(bin/clementinepier domain "$1" "$2" --json --key "$OUT/operator.key" --wait "$ORDER_WAIT" $(entry_arguments) 2>>"$OUT/orders.log") || true
  printf '%s\n' "$reply" >>"$OUT/orders.log"
  sed -n 's/.*"acknowledged-at": *"\([^"]*\)".*/\1/p' <<<"$reply" | tail -n 1
}

write_entry_settings() { # NUMBER: writes the settings file of an entry VM, with traces
  write_settings "entry-$1" "$(domain_of_entry "$1")" "127.0.0.1:$((ENTRY_PORT + $1))" "127.0.0.1:$((PEER_PORT + $1))"
  printf '[trace]\noutput = "file"\nfile = "entry-%s.trace"\n' "$1" >>"$OUT/entry-$1.toml"
}

write_bundle() {
  local name service domain
  {
    printf 'revision = 1\nreclaim-bound = "5s"\n'
    for name in "${ORGANISATIONS[@]}"; do
      printf '\n[[organisations]]\nname = "%s"\ntoken-digest = "%s"\nweight = 1\n' "$name" \
        "$(printf '%s' "token-$name" | sha256sum | cut -d ' ' -f 1)"
      printf '\n[[organisations.guarantees]]\nname = "pair"\ncount = 2\nshape = {tasks = 2, accelerators = 4, slots = 1}\n'
      for service in "${SERVICES[@]}"; do
        printf '\n[[organisations.limits]]\nservice = "%s"\nrequests-per-second = 100.0\nrunning = 100\n' "$service"
      done
    done
    for domain in "${DOMAINS[@]}"; do
      printf '\n[[failure-domains]]\nname = "%s"\nregion = "north"\n' "$domain"
      printf '\n[[failure-domains.racks]]\nname = "%s-r1"\nworkers = %d\nslots = 8\naccelerators = 8\n' "$domain" "$WORKERS_PER_RACK"
    done
    for service in "${SERVICES[@]}"; do
      printf '\n[[services]]\nname = "%s"\ndefault-timeout = "20s"\nmax-timeout = "60s"\nmax-payload = 1000000\n' "$service"
    done
  } >"$OUT/bundle.toml"
}

# --- processes -----------------------------------------------------------------------------------------

start_workers() {
  local i domain
  for ((i = 1; i <= ${#DOMAINS[@]} * WORKERS_PER_RACK; i++)); do
    domain=${DOMAINS[$(((i - 1) / WORKERS_PER_RACK))]}
    start "worker-$i" bin/standin worker --address "127.0.0.1:$((WORKER_PORT + i))" --platform "$PLATFORM" \
      --name "worker-$i" --failure-domain "$domain" --rack "$domain-r1" --run-log "$OUT/worker-$i.run"
  done
  for ((i = 1; i <= ${#DOMAINS[@]} * WORKERS_PER_RACK; i++)); do
    await_port "worker-$i" "127.0.0.1:$((WORKER_PORT + i))"
  done
}

start_entries() {
  local i
  for ((i = 1; i <= ${#DOMAINS[@]} * ENTRIES_PER_DOMAIN; i++)); do
    write_entry_settings "$i"
    start "entry-$i" bin/clementinepier entry --settings "$OUT/entry-$i.toml"
    platform_call /admin/vms/add "{\"name\": \"entry-$i\", \"kind\": \"entry\", \"failure-domain\": \"$(domain_of_entry "$i")\",
      \"address\": \"127.0.0.1:$((PEER_PORT + i))\"}"
  done
  for ((i = 1; i <= ${#DOMAINS[@]} * ENTRIES_PER_DOMAIN; i++)); do
    await_port "entry-$i" "127.0.0.1:$((ENTRY_PORT + i))"
  done
}

start_load() {
  local i name service arguments=()
  for ((i = 1; i <= ${#DOMAINS[@]} * ENTRIES_PER_DOMAIN; i++)); do arguments+=(--entry "127.0.0.1:$((ENTRY_PORT + i))"); done
  for name in "${ORGANISATIONS[@]}"; do arguments+=(--organisation "$name=token-$name"); done
  for service in "${SERVICES[@]}"; do arguments+=(--service "$service"); done
  start load bin/standin load "${arguments[@]}" --requests "$REQUESTS" --rate "$RATE" --seed "$SEED" --max-run-time "$MAX_RUN_TIME" \
    --results "$OUT/results.jsonl"
}

# record_change DOMAIN STATE TIME notes a change of a failure domain for the check.
record_change() {
  printf '{"failure-domain": "%s", "state": "%s", "time": "%s"}\n' "$1" "$2" "$3" >>"$OUT/domain-changes.jsonl"
}

now() { date -u +%Y-%m-%dT%H:%M:%S.%NZ; }

# --- failures ------------------------------------------------------------------------------------------

kill_entry() {
  say "entry-$1 is killed"
  signal "entry-$1" KILL
  await_end "entry-$1" || true
  platform_call /admin/vms/remove "{\"name\": \"entry-$1\"}"
}

begin_stop() {
  say "entry-$1 is stopped gracefully"
  platform_call /admin/vms/leaving "{\"name\": \"entry-$1\", \"leaving\": true}"
  signal "entry-$1" TERM
}

# finish_stop returns the exit status of an entry VM that was told to stop.
finish_stop() {
  local status=0
  await_end "entry-$1" || status=$?
  platform_call /admin/vms/remove "{\"name\": \"entry-$1\"}"
  say "entry-$1 ended with status $status"
  return "$status"
}

take_domain_out_and_back() {
  local issued acknowledged
  say "$OUT_DOMAIN goes out of service"
  issued=$(now)
  acknowledged=$(domain_order out "$OUT_DOMAIN")
  if [[ -z $acknowledged ]]; then
    say "the order was not acknowledged; see $OUT/orders.log"
    return 1
  fi
  # With the store well, starts count as late from the issue of the order, which is stricter than its acknowledgement.
  [[ $STORE_FAULTS == 1 ]] || acknowledged=$issued
  record_change "$OUT_DOMAIN" out "$acknowledged"
  sleep 8 # starts count as late only after 4 s
  say "$OUT_DOMAIN comes back"
  issued=$(now) # starts are allowed from here on, as the order takes effect before its acknowledgement
  domain_order back "$OUT_DOMAIN" >/dev/null
  record_change "$OUT_DOMAIN" in "$issued"
}

# store_faults freezes an entry VM of the failure domain that goes out, from before the order until after its leases,
# while the store loses answers, fails and answers slowly.
store_faults() {
  say "entry-6 is frozen and the store loses answers"
  signal entry-6 STOP
  platform_call /admin/faults '{"lose-replies": true}'
  sleep 3
  say "the store is down"
  platform_call /admin/faults '{"down": true}'
  sleep 5
  say "the store is slow"
  platform_call /admin/faults '{"slow": "300ms"}'
  sleep 3
  platform_call /admin/faults '{}'
  say "the store is well"
  sleep 3
  signal entry-6 CONT
  say "entry-6 goes on"
}

main() {
  local status=0 faults
  rm -rf "$OUT"
  mkdir "$OUT"
  check_ports
  : >"$OUT/domain-changes.jsonl"
  start platform bin/standin platform --address "$PLATFORM" --lag 1s
  await_port platform "$PLATFORM"
  start_workers
  key_new author author
  key_new reviewer reviewer
  key_new operator operator
  (umask 077 && head -c 32 /dev/urandom | base64 >"$OUT/peer.secret")
  write_bundle
  bundle_sign
  start_entries
  bundle_roll
  say "load starts: $REQUESTS requests, seed $SEED"
  start_load
  sleep 2
  kill_entry 2
  sleep 1
  begin_stop 4
  if [[ $STORE_FAULTS == 1 ]]; then
    store_faults &
    faults=$!
    sleep 1
    begin_stop 8 # a second graceful stop at the same time, with the store out
  fi
  take_domain_out_and_back || status=1
  [[ $STORE_FAULTS != 1 ]] || wait "$faults"
  finish_stop 4 || status=1
  [[ $STORE_FAULTS != 1 ]] || finish_stop 8 || status=1
  await_end load || status=1
  tail -n 1 "$OUT/load.log"
  bin/standin check --results "$OUT/results.jsonl" --run-log "$OUT"/worker-*.run --domain-changes "$OUT/domain-changes.jsonl" \
    --requests "$REQUESTS" || status=1
  return "$status"
}

main
