#!/usr/bin/env bash
# Goodput through a spike of three times capacity, with callers who retry. Usage: benches/spike.sh
source "$(dirname "$0")/fleet.sh"
CAPACITY=${CAPACITY:-150}
start_platform
start_engines 9 --step 8ms --per-sequence 0.2ms --per-prompt-token 0.1ms
start_entries 2
write_catalogue 10 100000000
wait_ready 9
run_load --rate $(( CAPACITY * 8 / 10 )) --spike "8:16:$(( CAPACITY * 3 ))" --duration 26s --prefixes 40 \
  --prefix-bytes 1024 --suffix-bytes 120 --output 32 --max-output 256 --retries 2
