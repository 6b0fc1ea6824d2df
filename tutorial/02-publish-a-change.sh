#!/usr/bin/env bash
# Lesson 2: two teams change the manifest; a publication that is based on an outdated version is rejected, so that
# neither team overwrites a change that it has not seen.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

start_stand_ins
write_manifest
ctl publish "$out/manifest.yaml" --log_url="$(http log)"
start_vm a zone-a
scheduler=$(http scheduler-a)

say "both teams fetch the current manifest; built_on contains the version of each section"
ctl fetch --scheduler_url="$scheduler" | tee "$out/team-1.json" >"$out/team-2.json"
grep -A 7 built_on "$out/team-1.json"
say "team 1 lowers default_max_tokens and waits until the change is in effect"
sed -i 's/"default_max_tokens": 64/"default_max_tokens": 32/' "$out/team-1.json"
ctl publish "$out/team-1.json" --log_url="$(http log)" --scheduler_url="$scheduler"
say "team 2 raises it, based on the outdated version: rejected, with a hint how to proceed"
sed -i 's/"default_max_tokens": 64/"default_max_tokens": 128/' "$out/team-2.json"
status=0
answer=$(ctl publish "$out/team-2.json" --log_url="$(http log)") || status=$?
echo "$answer (exit status $status)"
expect "team 2" "$answer, $status" "fescuectl fetch"
[ $status -eq 1 ]
say "team 1's change is still in effect"
now=$(ctl fetch --scheduler_url="$scheduler")
expect "in force" "$now" '"default_max_tokens": 32'
ctl status --scheduler_url="$scheduler"
