#!/usr/bin/env bash
# A hundred thousand requests with faults of every kind. Usage: benches/soak.sh [RATE] [SECONDS]
source "$(dirname "$0")/fleet.sh"
RATE=${1:-800}; DURATION=${2:-128}
start_platform
start_engines 9 --slots 64 --step 2ms --per-sequence 0ms
start_plains 3
start_entries 4
write_catalogue 10 1000000000
wait_ready 12
faults="$WORK/faults"; : >"$faults"
for second in $(seq 5 5 $(( DURATION - 10 ))); do
  engine=${ENGINES[$(( second % 9 ))]}
  echo "${second}s control $engine /control/faults {\"cut_after\":3,\"cut_answers\":20}" >>"$faults"
  echo "${second}.7s control ${ENGINES[$(( (second + 3) % 9 ))]} /control/faults {\"silent_answers\":3,\"cut_after\":2}" >>"$faults"
  echo "${second}.9s control ${ENGINES[$(( (second + 5) % 9 ))]} /control/faults {\"foreign_answers\":5}" >>"$faults"
done
echo "20.1s stop ${AGENT_PIDS[1]}" >>"$faults"; echo "23.1s cont ${AGENT_PIDS[1]}" >>"$faults"
echo "30.1s control $STORE /control/faults {\"down\":true}" >>"$faults"; echo "36.1s control $STORE /control/faults {\"down\":false}" >>"$faults"
echo "45.1s control $STORE /control/faults {\"lose_answers\":8}" >>"$faults"
echo "55.1s kill ${ENTRY_PIDS[3]}" >>"$faults"
echo "65.1s term ${AGENT_PIDS[8]}" >>"$faults"
echo "75.1s stop ${ENTRY_PIDS[2]}" >>"$faults"; echo "82.1s cont ${ENTRY_PIDS[2]}" >>"$faults"
echo "95.1s term ${ENTRY_PIDS[1]}" >>"$faults"
sort -n -o "$faults" "$faults"
run_load --rate "$RATE" --duration "${DURATION}s" --prefix-bytes 128 --suffix-bytes 64 --output 6 --max-output 24 \
  --retries 3 --patience 10s --route /filing/returns --plain-share 10 --keyed-share 5 --faults "$faults" | tee "$WORK/soak"
for inner in "${INNERS[@]}"; do curl -s -m 2 "http://$inner/metrics" | grep -E 'events_total' | grep -v '^#' | sed 's/toucanrail_entry_//' | tr '\n' ' ' || true; echo; done
for request in $( (grep -h '^unbilled requests' "$WORK/soak" || true) | cut -c29-); do echo "$request"; "$BIN/toucanrail" --store "$STORE" explain "$request" || true; done
