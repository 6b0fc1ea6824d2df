#!/usr/bin/env bash
# Lesson 3: the VM that owns a program crashes; another VM takes over, and no at-most-once call runs twice.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

start_stand_ins
write_manifest
ctl publish "$out/manifest.yaml" --log_url="$(http log)"
say "two entry VMs in one zone"
start_vm a zone-a
start_vm b zone-a

program=$(create_program a)
say "call 1 writes an invoice; wait until its outcome is durable in the log"
answer=$(call_of "$program" 1 a /v1/services/lease-app/invoices -d '{"amount": 120}')
echo "$answer"
is_durable() { call a "/v1/programs/$program" | grep -q '"durable_call":1'; }
await "call 1 is durable" is_durable
owner=a
ctl programs --scheduler_url="$(http scheduler-b)" | grep -q "$program" && owner=b
other=$([ $owner = a ] && echo b || echo a)
say "call 2 writes another invoice; right after it, kill the owner, vm-$owner, with SIGKILL"
call_of "$program" 2 "$other" /v1/services/lease-app/invoices -d '{"amount": 80}'
echo
stop "scheduler-$owner" KILL
stop "gateway-$owner" KILL
say "the caller retries both calls through vm-$other: call 1 is answered from the log"
retry=$(call_of "$program" 1 "$other" /v1/services/lease-app/invoices -d '{"amount": 120}')
echo "$retry"
[ "$retry" = "$answer" ]
say "the log contains the intent of call 2, but possibly no outcome, so it never runs again"
call_of "$program" 2 "$other" /v1/services/lease-app/invoices -d '{"amount": 80}'
echo
executions=$(curl -sS "$(http service)/executions")
say "executions at the service: $executions"
expect "call 1" "$executions" "\"\\\"$program/1\\\"\":1"
expect "call 2" "$executions" "\"\\\"$program/2\\\"\":1"
say "the timeline shows both owners: see shard_owned, and the claim of the second owner in batch_appended"
lines=$(show_timeline)
echo "$lines"
expect "timeline" "$lines" "owner=vm-$owner"
expect "timeline" "$lines" "owner=vm-$other"
