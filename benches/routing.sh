#!/usr/bin/env bash
# Compares routing policies on nine stand-in engines, one of them three times slower, with skewed
# prefixes, at shares of capacity. The policies' fleets run side by side. Usage: benches/routing.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --quiet
SECONDS_EACH=${1:-12}
CAPACITY=${CAPACITY:-150}
POLICIES=${POLICIES:-round-robin random least-reported affinity balanced}
OUT=$(mktemp -d)

one() { # POLICY PERCENT
  (
    source benches/fleet.sh
    start_platform
    start_engines 9 --step 8ms --per-sequence 0.2ms --per-prompt-token 0.1ms
    start_entries 2 --routing "$1"
    write_catalogue 10 100000000
    wait_ready 9
    curl -s -X POST "http://${ENGINES[0]}/control/faults" -d '{"pace_percent":300}' >/dev/null
    run_load --rate $(( CAPACITY * $2 / 100 )) --duration "${SECONDS_EACH}s" --prefixes 40 --prefix-bytes 1024 \
      --suffix-bytes 120 --output 32 --max-output 256 --json "$OUT/$2-$1.json" >"$OUT/$2-$1.txt"
  ) 2>/dev/null || true
}

for percent in ${PERCENTS:-60 85 110}; do
  jobs=()
  for policy in $POLICIES; do one "$policy" "$percent" & jobs+=($!); done
  wait "${jobs[@]}"
done
python3 - "$OUT" <<'P'
import json, pathlib, sys
print("| load | policy | first token p50 / p95 / p99 ms | between p50 / p95 / p99 ms | prefix hits | right / sent | refused |")
print("|---|---|---|---|---|---|---|")
order = ["round-robin", "random", "least-reported", "affinity", "balanced"]
rows = []
for path in pathlib.Path(sys.argv[1]).glob("*.json"):
    r = json.loads(path.read_text())
    percent, policy = path.stem.split("-", 1)
    f, b = r["first_token"], r["between_tokens"]
    rows.append((int(percent), order.index(policy), f"| {percent} % | {policy} | {f['p50']:.0f} / {f['p95']:.0f} / {f['p99']:.0f} | {b['p50']:.1f} / {b['p95']:.1f} / {b['p99']:.1f} | {100*r['prefix_hits']:.0f} % | {r['right']} / {r['requests']} | {sum(r['refusals'].values())} |"))
for row in sorted(rows): print(row[2])
P
