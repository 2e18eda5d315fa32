# Functions that the scripts share: processes on loopback, ended by id. The script that sources this file sets OUT, the
# folder for the processes' output, first.

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

# await_port NAME ADDRESS waits until a process listens, and fails if it ends first.
await_port() {
  local tries
  for ((tries = 0; tries < 100; tries++)); do
    if ! kill -0 "${PIDS[$1]}" 2>/dev/null; then break; fi
    if listens "$2"; then return; fi
    sleep 0.1
  done
  say "$1 does not listen on $2; the end of $OUT/$1.log:"
  tail -n 5 "$OUT/$1.log"
  return 1
}

# write_settings NAME DOMAIN CALLERS-ADDRESS PEERS-ADDRESS writes the settings file of an entry VM. PLATFORM must be set.
write_settings() {
  cat >"$OUT/$1.toml" <<SETTINGS
name = "$1"
failure-domain = "$2"
callers-address = "$3"
peers-address = "$4"
platform-address = "$PLATFORM"
[keys]
trusted-files = ["author.key.pub", "reviewer.key.pub", "operator.key.pub"]
[peers]
secret-files = ["peer.secret"]
SETTINGS
}
