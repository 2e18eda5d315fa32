#!/usr/bin/env bash
# Measures the time that the system adds to one short request, with separate processes on loopback: a platform, a
# worker, the entry VM that owns its rack, and an entry VM of another failure domain that passes requests on.
# Needs bin/clementinepier and bin/standin. Output goes to path-cost-out/. With PROFILE=1 the entry VMs are built to
# serve profiles, which are written there, too.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly OUT=path-cost-out
readonly REQUESTS=${REQUESTS:-500}
readonly LOADED=${LOADED:-1000}
readonly CONCURRENCY=${CONCURRENCY:-16}
readonly BASE_PORT=${BASE_PORT:-18000}
readonly PROFILE=${PROFILE:-}
readonly PROFILE_SECONDS=8
readonly PLATFORM=127.0.0.1:$BASE_PORT
readonly WORKER=127.0.0.1:$((BASE_PORT + 1))
readonly OWNER=127.0.0.1:$((BASE_PORT + 11))
readonly RECEIVER=127.0.0.1:$((BASE_PORT + 12))

PROGRAM=bin/clementinepier
. scripts/processes.sh

write_bundle() {
  cat >"$OUT/bundle.toml" <<BUNDLE
revision = 1
[[organisations]]
name = "register"
token-digest = "$(printf 'token' | sha256sum | cut -d ' ' -f 1)"
weight = 1
[[organisations.limits]]
service = "match"
requests-per-second = 1000000.0
running = 100000
[[failure-domains]]
name = "near"
region = "north"
[[failure-domains.racks]]
name = "near-r1"
workers = 1
slots = 64
accelerators = 8
[[failure-domains]]
name = "far"
region = "north"
[[failure-domains.racks]]
name = "far-r1"
workers = 1
slots = 8
accelerators = 8
[[services]]
name = "match"
default-timeout = "20s"
max-timeout = "60s"
max-payload = 1000000
BUNDLE
}

start_entry() { # NAME DOMAIN CALLERS-ADDRESS OFFSET
  write_settings "$1" "$2" "$3" "127.0.0.1:$((BASE_PORT + 20 + $4))"
  PROFILE_ADDRESS=127.0.0.1:$((BASE_PORT + 30 + $4)) start "$1" "$PROGRAM" entry --settings "$OUT/$1.toml"
  bin/standin call "$PLATFORM" /admin/vms/add "{\"name\": \"$1\", \"kind\": \"entry\", \"failure-domain\": \"$2\",
    \"address\": \"127.0.0.1:$((BASE_PORT + 20 + $4))\"}" >/dev/null
  await_port "$1" "$3"
}

main() {
  local role
  rm -rf "$OUT"
  mkdir "$OUT"
  if [[ -n $PROFILE ]]; then
    PROGRAM=$OUT/clementinepier
    go build -tags profile -o "$PROGRAM" .
  fi
  start platform bin/standin platform --address "$PLATFORM" --lag 10ms
  await_port platform "$PLATFORM"
  start worker bin/standin worker --address "$WORKER" --platform "$PLATFORM" --name worker-1 --failure-domain near \
    --rack near-r1 --slots 64
  await_port worker "$WORKER"
  for role in author reviewer operator; do
    bin/clementinepier key new --out "$OUT/$role.key" --role "$role" >/dev/null
  done
  (umask 077 && head -c 32 /dev/urandom | base64 >"$OUT/peer.secret")
  write_bundle
  bin/clementinepier bundle sign "$OUT/bundle.toml" --key "$OUT/author.key" --out "$OUT/bundle.signed" >/dev/null
  bin/clementinepier bundle review "$OUT/bundle.signed" --key "$OUT/reviewer.key" --first >"$OUT/review.txt"
  start_entry owner near "$OWNER" 1
  start_entry receiver far "$RECEIVER" 2
  bin/clementinepier bundle roll "$OUT/bundle.signed" --entry "$OWNER" >/dev/null
  sleep 3 # until the rack has its owner and both VMs have heard of it
  if [[ -n $PROFILE ]]; then
    sleep 4 && for role in 1 2; do
      curl -s -o "$OUT/entry-$role.pprof" "http://127.0.0.1:$((BASE_PORT + 30 + role))/debug/pprof/profile?seconds=$PROFILE_SECONDS" &
    done &
  fi
  bin/standin path-cost --path "rack owner=$OWNER" --path "other entry VM=$RECEIVER" --worker "$WORKER" --worker-name worker-1 \
    --organisation register=token --service match --requests "$REQUESTS" --loaded-requests "$LOADED" --concurrency "$CONCURRENCY"
}

main
