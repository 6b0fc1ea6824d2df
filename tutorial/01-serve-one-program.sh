#!/usr/bin/env bash
# Lesson 1: one entry VM serves one program. A program is a chain of calls with one history and one budget.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

say "the platform's place is taken by stand-ins: log, list of VMs, engines, a service"
start_stand_ins
say "operators declare everything in a manifest, and publish it on the log"
write_manifest
cat "$out/manifest.yaml"
ctl publish "$out/manifest.yaml" --log_url="$(http log)"
say "an entry VM runs a scheduler and a gateway; the gateway answers /readyz when it can serve"
start_vm a zone-a

program=$(create_program a)
say "program $program: its id names zone, shard and creation"
say "call 1 goes to a model engine"
answer=$(call_of "$program" 1 a /v1/chat/completions \
    -d '{"model": "agent-llm", "messages": [{"role": "user", "content": "Draft renewal terms for mast 17."}]}')
echo "$answer"
expect "call 1" "$answer" '"usage"'
say "call 2 writes an invoice, which must happen once; its repeat gets the answer that is on record"
for _ in 1 2; do
    answer=$(call_of "$program" 2 a /v1/services/lease-app/invoices -d '{"amount": 120}')
    echo "$answer"
    expect "call 2" "$answer" '"executed":1'
done
say "the end of a program frees what engines hold for it"
call a "/v1/programs/$program" -X DELETE
echo
