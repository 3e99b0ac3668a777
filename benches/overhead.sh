#!/usr/bin/env bash
# What entry and agent add to the first byte, against direct calls to the same engine stand-in, and
# what one core carries. Usage: benches/overhead.sh [SECONDS]
source "$(dirname "$0")/fleet.sh"
SECONDS_EACH=${1:-10}
start_platform
start_engines 1 --slots 512 --step 0.2ms --per-sequence 0ms --per-prompt-token 0ms
start_entries 1
write_catalogue 1 2000000000
wait_ready 1
ENTRY=("${ENTRIES[@]}")
load=(--prefix-bytes 256 --suffix-bytes 64 --output 2 --max-output 8 --duration "${SECONDS_EACH}s")
run_load --rate 50 --duration 1s "${load[@]:0:8}" >/dev/null
for rate in ${RATES:-200 400 800 1600}; do
  for way in direct fleet direct fleet; do
    if [ "$way" = direct ]; then ENTRIES=("${ENGINES[@]}"); else ENTRIES=("${ENTRY[@]}"); fi
    cpu_before=$(awk '{print $14+$15}' "/proc/${ENTRY_PIDS[0]}/stat")
    agent_before=$(awk '{print $14+$15}' "/proc/${AGENT_PIDS[0]}/stat")
    line=$(run_load --rate "$rate" "${load[@]}" | grep -E 'correct responses|first token' | tr -s ' ' | tr '\n' ' ')
    cpu=$(( $(awk '{print $14+$15}' "/proc/${ENTRY_PIDS[0]}/stat") - cpu_before ))
    agent=$(( $(awk '{print $14+$15}' "/proc/${AGENT_PIDS[0]}/stat") - agent_before ))
    echo "rate $rate $way: $line entry cpu ${cpu}0 ms, agent cpu ${agent}0 ms"
  done
done
