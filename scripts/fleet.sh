# A fleet of real processes on loopback, shared by the fault tests and the
# benchmarks. The script that sources it first sources processes.sh, sets BIN,
# WORK, PORT, SHARDS and DAEMONS and defines print_config(), which prints the only
# file of the configuration directory. It may set SEARCH_OPTIONS and SIZES: further
# KEY=VALUE options of every search upstream, and the output of standin-sizes.
#
# Ports: daemons at PORT + 10 n, platform at PORT + 90, search upstreams from
# PORT + 100, order upstreams from PORT + 200.

ZONES=(sierra-a costa-a austro-a)
PLATFORM=$((PORT + 90))
SEARCH_OPTIONS=""

# caller_port DAEMON, search_port SHARD REPLICA, order_port REPLICA
caller_port() { echo $((PORT + $1 * 10)); }
search_port() { echo $((PORT + 100 + $1 * 3 + $2)); }
order_port() { echo $((PORT + 200 + $1)); }

# The contents of the instance list that write_list writes.
REVISION=0
SNAPSHOTS='["parts-1"]'
INCARNATION=first
LEAVING=""

write_list() { # writes the instance list with the next revision
	REVISION=$((REVISION + 1))
	jq -cn --argjson sizes "$SIZES" --argjson revision $REVISION \
		--argjson snapshots "$SNAPSHOTS" --arg incarnation "$INCARNATION" \
		--arg leaving "$LEAVING" --argjson port "$PORT" \
		--argjson shards "$SHARDS" --argjson daemons "$DAEMONS" '
	["sierra-a", "costa-a", "austro-a"] as $zones
	| {revision: $revision,
	   daemons: [range($daemons) | {id: "entry-\(.)", zone: $zones[. % 3],
		address: "127.0.0.1:\($port + . * 10 + 2)"}],
	   snapshots: [$snapshots[] | {service: "storefront-search", id: ., map: 1, shards: $sizes}],
	   upstreams: ([range($shards) as $s | range(3) as $r
		| {id: "search-\($s)-\($r)", service: "storefront-search", shard: "\($s)",
		   zone: $zones[$r], address: "127.0.0.1:\($port + 100 + $s * 3 + $r)",
		   incarnation: $incarnation, snapshots: $snapshots}]
		+ [range(3) | {id: "order-\(.)", service: "order-intake", shard: "all",
		   zone: $zones[.], address: "127.0.0.1:\($port + 200 + .)",
		   incarnation: $incarnation, snapshots: []}])}
	| .upstreams |= map(.leaving = (.id == $leaving))' >"$WORK/list.tmp"
	mv "$WORK/list.tmp" "$WORK/list.json"
}

start_search() { # SHARD REPLICA INCARNATION [KEY=VALUE...]
	local shard=$1 replica=$2 incarnation=$3
	shift 3
	start "search-$shard-$replica" "$BIN/test/standin-upstream" \
		"search-$shard-$replica" "$(search_port $shard $replica)" $shard $SHARDS \
		"$incarnation" parts-1,parts-2 slots=3 work_ms=3 $SEARCH_OPTIONS "$@"
}

start_orders() { # REPLICA INCARNATION
	start "order-$1" "$BIN/test/standin-upstream" "order-$1" \
		"$(order_port $1)" 0 1 "$2" parts-1 slots=3 work_ms=3
}

start_daemon() { # NUMBER [PLATFORM-PORT]
	local next=$((($1 + 1) % DAEMONS))
	print_settings "entry-$1" "${ZONES[$(($1 % 3))]}" "$(caller_port $1)" "${2:-$PLATFORM}" \
		"entry-$next" "$(caller_port $next)" >"$WORK/entry-$1.json"
	start "entry-$1" "$BIN/src/cuminsaild" "$WORK/entry-$1.json"
}

start_platform() { # REVISION
	start platform "$BIN/test/standin-platform" $PLATFORM "$WORK/config" \
		"$WORK/list.json" "$1"
}

set_platform_mode() { curl -s -X PUT "http://127.0.0.1:$PLATFORM/control/$1" >/dev/null; }
set_fault() { curl -s -X PUT "http://127.0.0.1:$1/control/fault/$2" >/dev/null; }
send_query() { # DAEMON: prints the answer
	curl -s -m 5 -X POST "http://127.0.0.1:$(caller_port $1)/v1/services/storefront-search/query" \
		-d '{"query": {"text": "hinge"}, "limit": 3}'
}
answer_is_complete() { send_query "$1" | jq -e '.coverage.complete == true'; }
# Sends a query to every daemon, because each daemon warms only the upstreams that
# it owns. Succeeds if all answers are complete.
all_complete() {
	local d failed=0
	for d in $(seq 0 $((DAEMONS - 1))); do answer_is_complete $d >/dev/null || failed=1; done
	return $failed
}
all_ready() { for d in $(seq 0 $((DAEMONS - 1))); do is_ready $(($(caller_port $d) + 1)) || return 1; done; }
send_order() { # DAEMON: succeeds if the order is answered
	local ticket
	ticket=$(curl -s -m 5 -X POST "http://127.0.0.1:$(caller_port $1)/v1/services/order-intake/tickets" | jq -r .ticket)
	curl -s -m 5 -X PUT "http://127.0.0.1:$(caller_port $1)/v1/services/order-intake/orders/$ticket" \
		-d '{"order": {}}' | jq -e '.outcome == "answered"'
}
upstream_status() { curl -s "http://127.0.0.1:$(($(caller_port $1) + 1))/v1/upstreams"; }

# Sends requests to all daemons until every upstream is warm. The owner of an
# upstream warms it, and any daemon can be the owner. Fails after 100 rounds.
warm_all() {
	for _ in $(seq 100); do
		for d in $(seq 0 $((DAEMONS - 1))); do send_query $d >/dev/null; send_order $d >/dev/null 2>&1; done
		[ "$(for d in $(seq 0 $((DAEMONS - 1))); do upstream_status $d; done |
			jq -s '[.[].upstreams[] | select(.phase != "warm")] | length')" = 0 ] && return 0
	done
	return 1
}

start_fleet() { # [KEY=VALUE...]: options of the search upstreams
	stop_all
	rm -rf "$WORK/config"
	mkdir "$WORK/config"
	print_config >"$WORK/config/10.json"
	REVISION=0 SNAPSHOTS='["parts-1"]' INCARNATION=first LEAVING=""
	write_list
	for s in $(seq 0 $((SHARDS - 1))); do for r in 0 1 2; do start_search $s $r first "$@"; done; done
	for r in 0 1 2; do start_orders $r first; done
	start_platform 0
	for d in $(seq 0 $((DAEMONS - 1))); do start_daemon $d; done
	wait_until 20 all_ready || { echo "fleet not ready"; exit 1; }
	wait_until 20 all_complete || { echo "fleet does not give complete answers"; exit 1; }
}

print_plan() { # SECONDS TARGETS...: the plan of "cuminsail load"
	local seconds=$1
	shift
	printf '%s\n' "$@" | jq -R . | jq -s --argjson seconds "$seconds" '
	{seconds: $seconds, seed: 7, targets: .,
	 streams: [
	  {service: "storefront-search", rate: 120, deadline_ms: 600, limit: 5,
	   texts: ["alloy hinge", "steel clamp", "carbon seatpost", "black wheel"]},
	  {service: "order-intake", orders: true, rate: 20, deadline_ms: 800, texts: ["x"]}]}'
}
caller_addresses() { for d in $(seq 0 $((DAEMONS - 1))); do echo "127.0.0.1:$(caller_port $d)"; done; }

start_load() { # SECONDS [TARGET...]: in the background; default: all daemons
	local seconds=$1
	shift
	[ $# = 0 ] && set -- $(caller_addresses)
	print_plan "$seconds" "$@" >"$WORK/plan.json"
	: >"$WORK/past.json"
	"$BIN/src/cuminsail" --json --record "$WORK/record" load "$WORK/plan.json" \
		>"$WORK/report.json" 2>&1 &
	LOAD_PID=$!
}
