#!/usr/bin/env bash
# Lesson 1: one entry VM serves one program. A program is a chain of calls that share a history and a token budget.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

say "start stand-ins for the platform: log, list of VMs, engines and a service"
start_stand_ins
say "operators declare the configuration in a manifest and publish it to the log"
write_manifest
cat "$out/manifest.yaml"
ctl publish "$out/manifest.yaml" --log_url="$(http log)"
say "an entry VM runs a scheduler and a gateway; the gateway answers /readyz when it can serve"
start_vm a zone-a

program=$(create_program a)
say "program $program: its id contains the zone, the shard and the creation"
say "call 1 goes to a model engine"
answer=$(call_of "$program" 1 a /v1/chat/completions \
    -d '{"model": "agent-llm", "messages": [{"role": "user", "content": "Draft renewal terms for mast 17."}]}')
echo "$answer"
expect "call 1" "$answer" '"usage"'
say "call 2 writes an invoice and must run at most once; the retry returns the recorded answer"
for _ in 1 2; do
    answer=$(call_of "$program" 2 a /v1/services/lease-app/invoices -d '{"amount": 120}')
    echo "$answer"
    expect "call 2" "$answer" '"executed":1'
done
say "ending the program releases its cached prefixes on the engines"
call a "/v1/programs/$program" -X DELETE
echo
