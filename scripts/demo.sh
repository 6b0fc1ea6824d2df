#!/usr/bin/env bash
# Installs the dependencies, builds, and starts the whole system with stand-ins in two availability zones. Then runs
# one program, prints its timeline, and stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh build
. scripts/lib.sh

say "stand-ins: log, list of VMs, two engines, a service"
start_stand_ins
say "publish a manifest"
write_manifest
ctl publish "$out/manifest.yaml" --log_url="$(http log)"
for zone in a b; do
    say "entry VM in zone-$zone"
    start_vm "$zone" "zone-$zone"
done

start_ns=$(date +%s%N)
program=$(create_program a)
say "program $program"
question='{"role": "user", "content": "Draft renewal terms for mast 17."}'
echo "-- call 1, streamed, through zone-a"
call_of "$program" 1 a /v1/chat/completions \
    -d "{\"model\": \"agent-llm\", \"stream\": true, \"messages\": [$question]}" >"$out/answer"
tail -n 4 "$out/answer"
echo "-- call 2, an invoice that runs at most once, through zone-b, sent twice"
for _ in 1 2; do
    call_of "$program" 2 b /v1/services/lease-app/invoices -d '{"amount": 120}'
    echo
done
echo "-- call 3, a second turn"
words=$(for i in $(seq 0 15); do printf 'w%d ' "$i"; done)
call_of "$program" 3 b /v1/chat/completions \
    -d "{\"model\": \"agent-llm\", \"messages\": [$question, {\"role\": \"assistant\", \"content\": \"$words\"}, {\"role\": \"user\", \"content\": \"Shorter.\"}]}"
echo
call a "/v1/programs/$program" -X DELETE
echo
say "program latency: $((($(date +%s%N) - start_ns) / 1000000)) ms; executions at the service: $(curl -sS "$(http service)/executions")"
is_cache_empty() { ! curl -sS "$(http engine-a)/v1/cache" "$(http engine-b)/v1/cache" | grep -q '"key"'; }
await "the engines have released all cached prefixes" is_cache_empty
say "engine caches: $(curl -sS "$(http engine-a)/v1/cache") $(curl -sS "$(http engine-b)/v1/cache")"
say "timeline of the program"
show_timeline >"$out/timeline"
grep -F "$program" "$out/timeline"
