#!/usr/bin/env bash
# Installs and builds, starts the whole system with its stand-ins in two availability zones, runs one
# program through it and shows what happened. Everything is ended again at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh build
out=$(mktemp -d)
processes=()
stop_all() {
    for id in "${processes[@]}"; do kill -TERM "$id" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$out"
}
trap stop_all EXIT

# start NAME PROGRAM FLAGS...: waits for the ports that the program prints.
start() {
    local name=$1 program=$2 lines=1
    shift 2
    [ "$program" = fescue-scheduler ] && lines=2
    "build/$program" "$@" >"$out/$name" 2>"$out/$name.err" &
    processes+=($!)
    until [ "$(wc -l <"$out/$name")" -ge $lines ]; do
        kill -0 "${processes[-1]}" || { cat "$out/$name.err"; exit 1; }
        sleep 0.02
    done
}
port() { awk -v n="$2" '$1 == n { print $2 }' "$out/$1"; }
http() { echo "http://127.0.0.1:$(port "$1" http)"; }

echo "== stand-ins: log, list of VMs, two engines, a service"
start log standin-log
start vms standin-vms
start engine-a standin-engine
start engine-b standin-engine
start service standin-service
echo "== publish a manifest"
key=demo-key
cat >"$out/manifest.yaml" <<YAML
author: demo
sections:
  workspaces/lease: { key_sha256: [ "$(build/fescuectl hash_key $key)" ] }
  models/agent-llm: { default_max_tokens: 64 }
  services/lease-app: { calls: [ { method: POST, path_prefix: /invoices, repeatable: false } ] }
  pools/engines-a: { zone: zone-a, models: [ agent-llm ], targets: [ { id: engine-a, url: "$(http engine-a)" } ] }
  pools/engines-b: { zone: zone-b, models: [ agent-llm ], targets: [ { id: engine-b, url: "$(http engine-b)" } ] }
  pools/lease-app: { zone: zone-a, service: lease-app, targets: [ { id: lease-app-0, url: "$(http service)" } ] }
YAML
build/fescuectl publish "$out/manifest.yaml" --log_url="$(http log)"
for zone in a b; do
    echo "== entry VM in zone-$zone"
    start "scheduler-$zone" fescue-scheduler --vm="vm-$zone" --zone="zone-$zone" --log_url="$(http log)" \
        --vms_url="$(http vms)" --events_file="$out/scheduler-$zone.events"
    curl -sS -X PUT "$(http vms)/vms/vm-$zone" -o /dev/null \
        -d "{\"zone\": \"zone-$zone\", \"state\": \"live\", \"address\": \"127.0.0.1:$(port "scheduler-$zone" frames)\"}"
    start "gateway-$zone" fescue-gateway --vm="vm-$zone" --zone="zone-$zone" \
        --scheduler="127.0.0.1:$(port "scheduler-$zone" frames)" --events_file="$out/gateway-$zone.events"
    until curl -sf "$(http "gateway-$zone")/readyz" >/dev/null; do sleep 0.02; done
done

call() { curl -sS -H "Authorization: Bearer $key" "$@"; }
began=$(date +%s%N)
program=$(call -X POST "$(http gateway-a)/v1/programs" -d '{"budget": 20000}' | sed -E 's/.*"program":"([^"]*)".*/\1/')
echo "== program $program"
question='{"role": "user", "content": "Draft renewal terms for mast 17."}'
echo "-- call 1, streamed, through zone-a"
call -H "Fescue-Program: $program" -H "Fescue-Call: 1" "$(http gateway-a)/v1/chat/completions" \
    -d "{\"model\": \"agent-llm\", \"stream\": true, \"messages\": [$question]}" >"$out/answer"
tail -n 4 "$out/answer"
echo "-- call 2, an invoice that runs at most once, through zone-b, and sent a second time"
for _ in 1 2; do
    call -H "Fescue-Program: $program" -H "Fescue-Call: 2" "$(http gateway-b)/v1/services/lease-app/invoices" -d '{"amount": 120}'
    echo
done
echo "-- call 3, a second turn"
words=$(for i in $(seq 0 15); do printf 'w%d ' "$i"; done)
call -H "Fescue-Program: $program" -H "Fescue-Call: 3" "$(http gateway-b)/v1/chat/completions" \
    -d "{\"model\": \"agent-llm\", \"messages\": [$question, {\"role\": \"assistant\", \"content\": \"$words\"}, {\"role\": \"user\", \"content\": \"Shorter.\"}]}"
echo
call -X DELETE "$(http gateway-a)/v1/programs/$program"
echo
echo "== program latency: $((($(date +%s%N) - began) / 1000000)) ms; executions at the service: $(curl -sS "$(http service)/executions")"
echo "== memory held at the engines: $(curl -sS "$(http engine-a)/v1/cache") $(curl -sS "$(http engine-b)/v1/cache")"
echo "== time line"
build/fescuectl timeline "$out"/*.events ${DEMO_HTML:+--html="$DEMO_HTML"}
