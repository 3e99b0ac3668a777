#!/usr/bin/env bash
# A rolling restart of every agent and entry under load, each replaced in its place.
# Usage: benches/restart.sh
source "$(dirname "$0")/fleet.sh"
start_platform
start_engines 4 --slots 32
start_plains 2
start_entries 3
write_catalogue 10 100000000
wait_ready 6
(run_load --rate 150 --duration 45s --prefix-bytes 200 --suffix-bytes 100 --output 24 --max-output 64 --retries 3 \
  --route /filing/returns --plain-share 10 --keyed-share 10 >"$WORK/report") &
LOAD=$!
sleep 2
backends=("${ENGINES[@]}" "${PLAINS[@]}")
for at in "${!AGENT_PIDS[@]}"; do
  kill -TERM "${AGENT_PIDS[$at]}"; wait "${AGENT_PIDS[$at]}" 2>/dev/null || true
  service=levy-llm; probe=/engine/load; [ "$at" -ge 4 ] && service=filing-app && probe=/health
  launch "agent-new-$at" "$BIN/toucanrail-agent" --name "agent-new-$at" --listen "${AGENTS[$at]}" --store "$STORE" \
    --fleet-key "$KEY" --service "$service" --backend "${backends[$at]}" --probe-path "$probe"
  sleep 2
done
for at in "${!ENTRY_PIDS[@]}"; do
  kill -TERM "${ENTRY_PIDS[$at]}"; wait "${ENTRY_PIDS[$at]}" 2>/dev/null || true
  launch "entry-new-$at" "$BIN/toucanrail-entry" --name "entry-new-$at" --listen "${ENTRIES[$at]}" --store "$STORE" --fleet-key "$KEY"
  sleep 3
done
wait "$LOAD"
cat "$WORK/report"
