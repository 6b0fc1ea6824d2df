#!/usr/bin/env bash
# Lesson 3: the VM that owns a program dies; another takes over, and what must happen once happens once.
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
say "call 1 is an invoice; wait until the log has its outcome"
answer=$(call_of "$program" 1 a /v1/services/lease-app/invoices -d '{"amount": 120}')
echo "$answer"
is_durable() { call a "/v1/programs/$program" | grep -q '"durable_call":1'; }
await "call 1 is durable" is_durable
owner=a
ctl programs --scheduler_url="$(http scheduler-b)" | grep -q "$program" && owner=b
other=$([ $owner = a ] && echo b || echo a)
say "call 2 is another one; at once after it, kill its home, vm-$owner, without warning"
call_of "$program" 2 "$other" /v1/services/lease-app/invoices -d '{"amount": 80}'
echo
stop "scheduler-$owner" KILL
stop "gateway-$owner" KILL
say "the caller repeats both through vm-$other: call 1 is answered from the log"
repeat=$(call_of "$program" 1 "$other" /v1/services/lease-app/invoices -d '{"amount": 120}')
echo "$repeat"
[ "$repeat" = "$answer" ]
say "of call 2 the log has the intent, but perhaps no outcome: it is never run again"
call_of "$program" 2 "$other" /v1/services/lease-app/invoices -d '{"amount": 80}'
echo
executions=$(curl -sS "$(http service)/executions")
say "executions at the service: $executions"
expect "call 1" "$executions" "\"\\\"$program/1\\\"\":1"
expect "call 2" "$executions" "\"\\\"$program/2\\\"\":1"
say "the time line shows both owners: find shard_owned, and the claim of the second in batch_appended"
lines=$(show_time_line)
echo "$lines"
expect "time line" "$lines" "owner=vm-$owner"
expect "time line" "$lines" "owner=vm-$other"
