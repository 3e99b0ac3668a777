#!/usr/bin/env bash
# Compares grant policies at both sites' sizes, through faults. One scenario's fleets run at once,
# since no latency is compared. Usage: benches/grants.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --quiet
SECONDS_EACH=${1:-12}
POLICIES=${POLICIES:-split fixed:3000 burn:60 recall:60}
SCENARIOS=${SCENARIOS:-calm store-out entry-killed centre-frozen nearly-spent all}
OUT=$(mktemp -d)

one() { # SITE POLICY SCENARIO
  local site=$1 policy=$2 scenario=$3
  (
    source benches/fleet.sh
    start_platform
    if [ "$site" = virvoke ]; then start_engines 9; start_plains 3; rate=60; else start_engines 18; start_plains 3; rate=80; fi
    start_entries 3 --grants "$policy"
    # The large customers' money lasts for about three quarters of the load.
    budget=$(( rate * SECONDS_EACH * 20 ))
    [ "$scenario" = nearly-spent ] && budget=$(( budget / 8 ))
    write_catalogue 10 "$budget"
    wait_ready $(( ${#AGENTS[@]} ))
    local third=$(( ${#AGENT_PIDS[@]} / 3 ))
    : >"$WORK/faults"
    case $scenario in
      store-out|all) printf '3s control %s /control/faults {"down":true}\n6s control %s /control/faults {"down":false}\n' "$STORE" "$STORE" >>"$WORK/faults";;
    esac
    case $scenario in
      entry-killed|all) echo "4s kill ${ENTRY_PIDS[2]}" >>"$WORK/faults";;
    esac
    case $scenario in
      centre-frozen|all)
        for pid in "${ENTRY_PIDS[0]}" "${AGENT_PIDS[@]:0:$third}"; do echo "6.5s stop $pid" >>"$WORK/faults"; done
        for pid in "${ENTRY_PIDS[0]}" "${AGENT_PIDS[@]:0:$third}"; do echo "9s cont $pid" >>"$WORK/faults"; done;;
    esac
    sort -n -o "$WORK/faults" "$WORK/faults"
    run_load --rate "$rate" --duration "${SECONDS_EACH}s" --prefix-bytes 200 --suffix-bytes 100 --output 24 \
      --max-output 64 --retries 1 --patience 8s --route /filing/returns --plain-share 5 --keyed-share 5 \
      --faults "$WORK/faults" --json "$OUT/$site-$policy-$scenario.json" >"$OUT/$site-$policy-$scenario.txt"
  ) 2>/dev/null || true
}

for scenario in $SCENARIOS; do
  jobs=()
  for site in virvoke hanbit; do
    for policy in $POLICIES; do one "$site" "$policy" "$scenario" & jobs+=($!); done
  done
  wait "${jobs[@]}"
done
python3 - "$OUT" <<'P'
import json, pathlib, sys
print("| scenario | site | policy | requests | overspend | dup. bills / runs | false / budget refusals | stuck peak, s | writes/request | promises |")
print("|---|---|---|---|---|---|---|---|---|---|")
order = ["calm", "store-out", "entry-killed", "centre-frozen", "nearly-spent", "all"]
rows = []
for path in pathlib.Path(sys.argv[1]).glob("*.json"):
    r = json.loads(path.read_text())
    site, rest = path.stem.split("-", 1)
    policy, scenario = rest.split("-", 1)
    held = not any(r[k] for k in ("overspend", "foreign", "duplicate_runs", "duplicate_bills", "false_not_run", "changed_answers", "unbilled"))
    broken = "held" if held else " ".join(f"{k}={r[k]}" for k in ("overspend", "foreign", "duplicate_runs", "duplicate_bills", "false_not_run", "changed_answers", "unbilled") if r[k])
    rows.append((order.index(scenario), site, policy, f"| {scenario} | {site} | {policy} | {r['requests']} | {r['overspend']} | {r['duplicate_bills']} / {r['duplicate_runs']} | {r['false_refusals']} / {r['budget_refusals']} | {r['stuck_peak']}, {r['stuck_seconds']:.1f} | {r['writes_per_request']:.3f} | {broken} |"))
for row in sorted(rows): print(row[3])
P
