#!/usr/bin/env bash
# Slopes for docs/CAPACITY.md: an entry's and an agent's idle processor time, memory and store calls
# by the number of agents, peers, customers. Usage: benches/slopes.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --quiet
SECONDS_EACH=${1:-6}

cpu() { awk '{print $14+$15}' "/proc/$1/stat"; }
rss() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }

one() { # AGENTS ENTRIES CUSTOMERS
  (
    source benches/fleet.sh
    start_platform
    for number in $(seq "$1"); do start_agent "agent-$number" levy-llm "$STORE" /v1/vms; done
    start_entries "$2"
    write_catalogue "$3" 1000000
    wait_ready "$1"
    sleep 2
    before=$(cpu "${ENTRY_PIDS[0]}"); agent_before=0
    [ "$1" -gt 0 ] && agent_before=$(cpu "${AGENT_PIDS[0]}")
    calls=$(curl -s "http://$STORE/control/counts")
    sleep "$SECONDS_EACH"
    after=$(curl -s "http://$STORE/control/counts")
    used=$(( $(cpu "${ENTRY_PIDS[0]}") - before )); agent=0; agent_rss=0
    if [ "$1" -gt 0 ]; then agent=$(( $(cpu "${AGENT_PIDS[0]}") - agent_before )); agent_rss=$(rss "${AGENT_PIDS[0]}"); fi
    python3 - "$1" "$2" "$3" "$used" "$SECONDS_EACH" "$(rss "${ENTRY_PIDS[0]}")" "$agent" "$agent_rss" "$calls" "$after" <<'P'
import json, sys
a, e, c, used, s, rss, agent, arss = map(int, sys.argv[1:9])
before, after = json.loads(sys.argv[9]), json.loads(sys.argv[10])
delta = {k: (after[k] - before[k]) / s for k in after}
print(f"| {a} | {e} | {c} | {used/s:.2f} % | {rss/1024:.1f} | {agent/s:.2f} % | {arss/1024:.1f} | {delta['reads']:.1f} | {delta['watches']:.1f} | {delta['writes']:.1f} |", flush=True)
P
  ) 2>/dev/null || true
}

echo "| agents | entries | customers | entry cpu | entry MB | agent cpu | agent MB | reads/s, all | watches/s | writes/s |"
echo "|---|---|---|---|---|---|---|---|---|---|"
for shape in ${SHAPES:-0:1:10 20:1:10 60:1:10 4:8:10 4:24:10 4:1:1000 4:1:5000}; do
  IFS=: read -r agents entries customers <<<"$shape"
  one "$agents" "$entries" "$customers"
done
