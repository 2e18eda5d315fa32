#!/usr/bin/env bash
# Runs the whole system as separate processes on loopback, with failures while load runs, and checks the result.
# Needs bin/clementinepier and bin/standin. Output goes to try-out/. The exit status is 0 if the
# check finds no fault and the load tool and the graceful stop succeed.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly OUT=try-out
readonly SEED=${SEED:-1}
readonly REQUESTS=300
readonly RATE=20 # requests per second, so the load takes 15 s without failures
readonly MAX_RUN_TIME=2s # long enough that each entry VM has requests in flight when it is killed
readonly DOMAINS=(tunis-a bizerte-b nabeul-c ariana-d)
readonly WORKERS_PER_RACK=4
readonly ENTRIES_PER_DOMAIN=2
readonly PLATFORM=127.0.0.1:17000
readonly WORKER_PORT=17100 # worker i listens on this port + i
readonly ENTRY_PORT=17200  # entry VM i serves callers on this port + i
readonly PEER_PORT=17300   # and other entry VMs on this port + i
readonly OUT_DOMAIN=nabeul-c
readonly ORGANISATIONS=(register club museum dealer)
readonly SERVICES=(match restore reconcile)

declare -A PIDS=() # by name, of every process that this script started and did not yet end

say() { printf '%s %s\n' "$(date +%T)" "$*"; }

# start NAME COMMAND... runs a process in the background with its output in a file.
start() {
  local name=$1
  shift
  "$@" >"$OUT/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# signal NAME SIGNAL sends a signal to one process that this script started.
signal() { kill -s "$2" "${PIDS[$1]}" 2>/dev/null || true; }

# await_end NAME waits until a process has ended and returns its exit status.
await_end() {
  local status=0
  wait "${PIDS[$1]}" 2>/dev/null || status=$?
  unset "PIDS[$1]"
  return "$status"
}

end_all() {
  local name tries
  trap - EXIT
  for name in "${!PIDS[@]}"; do signal "$name" TERM; done
  for ((tries = 0; tries < 50; tries++)); do
    for name in "${!PIDS[@]}"; do
      kill -0 "${PIDS[$name]}" 2>/dev/null || unset "PIDS[$name]"
    done
    ((${#PIDS[@]} == 0)) && return
    sleep 0.1
  done
  for name in "${!PIDS[@]}"; do signal "$name" KILL; done
}
trap end_all EXIT
trap 'exit 130' INT TERM

listens() { (exec 3<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null; }

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

# await_port NAME ADDRESS waits until a process listens, and fails if it ends first.
await_port() {
  local tries
  for ((tries = 0; tries < 100; tries++)); do
    if listens "$2"; then return; fi
    if ! kill -0 "${PIDS[$1]}" 2>/dev/null; then break; fi
    sleep 0.1
  done
  say "$1 does not listen on $2; the end of $OUT/$1.log:"
  tail -n 5 "$OUT/$1.log"
  return 1
}

platform_call() { bin/standin call "$PLATFORM" "$@" >/dev/null; }

domain_of_entry() { echo "${DOMAINS[$((($1 - 1) / ENTRIES_PER_DOMAIN))]}"; }

# --- steps that use the command line of clementinepier -------------------------------------------------

key_new() { # NAME: makes a key pair in $OUT/NAME.key and $OUT/NAME.pub
  bin/clementinepier key new --out "$OUT/$1"
}

bundle_sign() { # KEY: adds a signature to the bundle
  bin/clementinepier bundle sign --key "$OUT/$1.key" "$OUT/bundle.toml"
}

bundle_roll() {
  bin/clementinepier bundle roll --platform "$PLATFORM" "$OUT/bundle.toml"
}

domain_out() { # DOMAIN: returns when the order is acknowledged
  bin/clementinepier domain out --platform "$PLATFORM" --key "$OUT/author.key" "$1"
}

domain_back() { # DOMAIN: returns when the order is acknowledged
  bin/clementinepier domain back --platform "$PLATFORM" --key "$OUT/author.key" "$1"
}

write_settings() { # NUMBER: writes the settings file of an entry VM
  cat >"$OUT/entry-$1.toml" <<SETTINGS
name = "entry-$1"
failure-domain = "$(domain_of_entry "$1")"
address = "127.0.0.1:$((ENTRY_PORT + $1))"
peer-address = "127.0.0.1:$((PEER_PORT + $1))"
platform = "$PLATFORM"
trusted-keys = ["$OUT/author.pub", "$OUT/reviewer.pub"]
SETTINGS
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
    write_settings "$i"
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
  local ordered
  say "$OUT_DOMAIN goes out of service"
  domain_out "$OUT_DOMAIN"
  record_change "$OUT_DOMAIN" out "$(now)"
  sleep 8 # starts count as late only after 4 s
  say "$OUT_DOMAIN comes back"
  ordered=$(now) # starts are allowed from here on, as the order takes effect before its acknowledgement
  domain_back "$OUT_DOMAIN"
  record_change "$OUT_DOMAIN" in "$ordered"
}

main() {
  local status=0
  check_ports
  rm -rf "$OUT"
  mkdir "$OUT"
  : >"$OUT/domain-changes.jsonl"
  start platform bin/standin platform --address "$PLATFORM" --lag 1s
  await_port platform "$PLATFORM"
  start_workers
  key_new author
  key_new reviewer
  write_bundle
  bundle_sign author
  bundle_sign reviewer
  start_entries
  bundle_roll
  say "load starts: $REQUESTS requests, seed $SEED"
  start_load
  sleep 2
  kill_entry 2
  sleep 1
  begin_stop 4
  take_domain_out_and_back
  finish_stop 4 || status=1
  await_end load || status=1
  tail -n 1 "$OUT/load.log"
  bin/standin check --results "$OUT/results.jsonl" --run-log "$OUT"/worker-*.run --domain-changes "$OUT/domain-changes.jsonl" \
    --requests "$REQUESTS" || status=1
  return "$status"
}

main
