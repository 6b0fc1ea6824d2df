# Shell functions for the demo and the tutorial: they run the system with stand-ins on free local ports.
# Source this file from the root of the repository. All started processes are stopped when the script exits.

build=${FESCUE_BUILD:-build}
out=$(mktemp -d)
key=demo-key
declare -A pids=()

stop_all() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$out"
}
trap stop_all EXIT

say() { echo "== $*"; }

# start NAME PROGRAM FLAGS...: starts a program and waits until it has printed its ports.
start() {
    local name=$1 program=$2 lines=1
    shift 2
    [ "$program" = fescue-scheduler ] && lines=2
    : >"$out/$name"
    "$build/$program" "$@" >>"$out/$name" 2>"$out/$name.err" &
    pids[$name]=$!
    until [ "$(wc -l <"$out/$name")" -ge $lines ]; do
        kill -0 "${pids[$name]}" || { cat "$out/$name.err"; exit 1; }
        sleep 0.02
    done
}

# stop NAME [SIGNAL]: signals a process (default: TERM) and waits until it has exited.
stop() {
    kill "-${2:-TERM}" "${pids[$1]}"
    wait "${pids[$1]}" 2>/dev/null || true
    unset "pids[$1]"
}

port() { awk -v n="$2" '$1 == n { print $2 }' "$out/$1"; }
http() { echo "http://127.0.0.1:$(port "$1" http)"; }
ctl() { "$build/fescuectl" "$@"; }

# await WHAT COMMAND...: retries a command until it succeeds. Exits with an error after 30 s.
await() {
    local what=$1 tries=0
    shift
    until "$@" >/dev/null 2>&1; do
        tries=$((tries + 1))
        [ $tries -lt 1500 ] || { echo "timed out after 30 s waiting until $what"; exit 1; }
        sleep 0.02
    done
}

# expect WHAT TEXT PART: exits with an error unless TEXT contains PART.
expect() {
    case $2 in
    *"$3"*) ;;
    *) echo "$1: expected $3 in: $2"; exit 1 ;;
    esac
}

# Starts the log, the list of VMs, one engine per zone and a service.
start_stand_ins() {
    start log standin-log
    start vms standin-vms
    start engine-a standin-engine
    start engine-b standin-engine
    start service standin-service
}

write_manifest() {
    cat >"$out/manifest.yaml" <<YAML
author: demo
sections:
  workspaces/lease: { key_sha256: [ "$(ctl hash_key $key)" ] }
  models/agent-llm: { default_max_tokens: 64 }
  services/lease-app: { calls: [ { method: POST, path_prefix: /invoices, repeatable: false } ] }
  pools/engines-a: { zone: zone-a, models: [ agent-llm ], targets: [ { id: engine-a, url: "$(http engine-a)" } ] }
  pools/engines-b: { zone: zone-b, models: [ agent-llm ], targets: [ { id: engine-b, url: "$(http engine-b)" } ] }
  pools/lease-app: { zone: zone-a, service: lease-app, targets: [ { id: lease-app-0, url: "$(http service)" } ] }
YAML
}

# list_vm NAME ZONE STATE: adds or updates a VM in the platform's list.
list_vm() {
    curl -sS -X PUT "$(http vms)/vms/vm-$1" -o /dev/null \
        -d "{\"zone\": \"$2\", \"state\": \"$3\", \"address\": \"127.0.0.1:$(port "scheduler-$1" frames)\"}"
}

# start_vm NAME ZONE: starts the scheduler and the gateway of an entry VM and waits until the gateway is ready.
start_vm() {
    start "scheduler-$1" fescue-scheduler --vm="vm-$1" --zone="$2" --log_url="$(http log)" \
        --vms_url="$(http vms)" --events_file="$out/scheduler-$1.events"
    list_vm "$1" "$2" live
    start "gateway-$1" fescue-gateway --vm="vm-$1" --zone="$2" \
        --scheduler="127.0.0.1:$(port "scheduler-$1" frames)" --events_file="$out/gateway-$1.events"
    await "gateway-$1 is ready" curl -sf "$(http "gateway-$1")/readyz"
}

# call GATEWAY PATH CURL-ARGUMENTS...: sends a request to a gateway.
call() {
    local gateway=$1 path=$2
    shift 2
    curl -sS -H "Authorization: Bearer $key" "$@" "$(http "gateway-$gateway")$path"
}

# call_of PROGRAM NUMBER GATEWAY PATH CURL-ARGUMENTS...: sends a numbered call of a program.
call_of() {
    local program=$1 number=$2
    shift 2
    call "$@" -H "Fescue-Program: $program" -H "Fescue-Call: $number"
}

# create_program GATEWAY: creates a program and prints its id.
create_program() {
    call "$1" /v1/programs -X POST -d '{"budget": 20000}' | sed -E 's/.*"program":"([^"]*)".*/\1/'
}

# Prints the merged timeline of all processes. Stops the daemons first, so that their event files are complete.
show_timeline() {
    for name in "${!pids[@]}"; do
        case $name in gateway-*) stop "$name" ;; esac
    done
    for name in "${!pids[@]}"; do
        case $name in scheduler-*) stop "$name" ;; esac
    done
    ctl timeline "$out"/*.events ${TIMELINE_HTML:+--html="$TIMELINE_HTML"}
}
