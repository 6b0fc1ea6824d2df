#!/usr/bin/env bash
# Lesson 4: a VM is drained and replaced while it serves; no request is interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

start_stand_ins
write_manifest
ctl publish "$out/manifest.yaml" --log_url="$(http log)"
start_vm a zone-a
start_vm b zone-a
program=$(create_program a)

say "a call is in flight; the service takes one second to answer"
curl -sS "$(http service)/faults" -d '{"delay_ms": 1000}' -o /dev/null
call_of "$program" 1 a /v1/services/lease-app/invoices -d '{"amount": 120}' >"$out/answer" &
caller=$!
has_arrived() { curl -sS "$(http service)/executions" | grep -q "$program"; }
await "the service has received the call" has_arrived
say "drain vm-a: first its gateway, then its scheduler"
stop gateway-a
wait $caller
list_vm a zone-a leaving
stop scheduler-a
say "the call in flight got its complete answer"
cat "$out/answer"
echo
expect "call 1" "$(cat "$out/answer")" '"executed":1'
say "the program continues on vm-b"
curl -sS "$(http service)/faults" -d '{"delay_ms": 0}' -o /dev/null
answer=$(call_of "$program" 2 b /v1/services/lease-app/invoices -d '{"amount": 80}')
echo "$answer"
expect "call 2" "$answer" '"executed":1'
