# Functions that start a fleet of separate processes on loopback for a measurement.
# Source it; every process started is ended by its id when the script ends.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cargo build --release --locked --quiet
BIN="$PWD/target/release"
WORK="$(mktemp -d)"
PIDS=()
KEY=fleet-secret
export RUST_LOG="${RUST_LOG:-error}"

finish() {
  for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$WORK"
}
trap finish EXIT

# launch NAME COMMAND...: starts a process and sets ADDRESS, INNER and PID from its first line.
launch() {
  local name=$1; shift
  "$@" >"$WORK/$name.out" 2>"$WORK/$name.err" &
  PID=$!
  PIDS+=("$PID")
  for _ in $(seq 200); do
    [ -s "$WORK/$name.out" ] && break
    sleep 0.02
  done
  read -r _ _ ADDRESS _ INNER <"$WORK/$name.out" || true
}

join() { local IFS=,; echo "$*"; }

start_platform() { launch platform "$BIN/toucanrail-standin" platform; STORE=$ADDRESS; }

# start_engines COUNT OPTIONS...: engines with an agent each; fills ENGINES and AGENT_PIDS.
ENGINES=(); AGENTS=(); AGENT_PIDS=()
start_engines() {
  local count=$1; shift
  for number in $(seq "$count"); do
    launch "engine-$number" "$BIN/toucanrail-standin" engine "$@"
    ENGINES+=("$ADDRESS")
    start_agent "agent-$number" levy-llm "$ADDRESS" /engine/load
  done
}

start_agent() {
  launch "$1" "$BIN/toucanrail-agent" --name "$1" --listen 127.0.0.1:0 --store "$STORE" \
    --fleet-key "$KEY" --service "$2" --backend "$3" --probe-path "$4"
  AGENTS+=("$ADDRESS"); AGENT_PIDS+=("$PID")
}

PLAINS=()
start_plains() {
  for number in $(seq "$1"); do
    launch "plain-$number" "$BIN/toucanrail-standin" plain
    PLAINS+=("$ADDRESS")
    start_agent "plain-agent-$number" filing-app "$ADDRESS" /health
  done
}

ENTRIES=(); INNERS=(); ENTRY_PIDS=()
start_entries() {
  local count=$1; shift
  for number in $(seq "$count"); do
    launch "entry-$number" "$BIN/toucanrail-entry" --name "entry-$number" --listen 127.0.0.1:0 \
      --store "$STORE" --fleet-key "$KEY" "$@"
    ENTRIES+=("$ADDRESS"); INNERS+=("$INNER"); ENTRY_PIDS+=("$PID")
  done
}

# write_catalogue CUSTOMERS BUDGET: customers c1.. with keys key-c1..; sets CUSTOMERS for the load.
write_catalogue() {
  local count=$1 budget=$2 rows=()
  cat >"$WORK/catalogue.toml" <<T
[[service]]
name = "levy-llm"
owner = "bench"
kind = "engine"
model = "levy-llm"
max-output = 1024
least-bytes-per-token = 4
resumes = true

[[service]]
name = "filing-app"
owner = "bench"
kind = "plain"
route = "/filing"
price = 5
not-repeatable = ["POST /returns"]
T
  for number in $(seq "$count"); do
    local digest; digest=$(printf 'key-c%s' "$number" | sha256sum | cut -d' ' -f1)
    # A few large customers: the first three have most of the requests.
    local share=$(( number <= 3 ? 20 : 2 ))
    rows+=("c$number:key-c$number:$share")
    cat >>"$WORK/catalogue.toml" <<T

[[customer]]
name = "c$number"
owner = "bench"
class = "standard"
key-digests = ["$digest"]
opening-budget = $budget
T
  done
  CUSTOMERS=$(join "${rows[@]}")
  "$BIN/toucanrail" --store "$STORE" apply "$WORK/catalogue.toml" >/dev/null
}

# wait_ready COUNT: waits until every entry hears so many agents.
wait_ready() {
  for inner in "${INNERS[@]}"; do
    for _ in $(seq 500); do
      heard=$("$BIN/toucanrail" state "$inner" | grep -c '"heard_at": {' || true)
      [ "$heard" -ge "$1" ] && break
      sleep 0.02
    done
  done
}

# run_load OPTIONS...: sends a load to the fleet and prints its report; never ends the script.
run_load() {
  "$BIN/toucanrail-load" --entries "$(join "${ENTRIES[@]}")" --customers "$CUSTOMERS" --store "$STORE" \
    --engines "$(join "${ENGINES[@]}")" --plains "$(join "${PLAINS[@]}")" "$@" || true
}
