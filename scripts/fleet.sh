# A fleet of real processes on loopback, shared by the scripts that break and
# measure it. The caller sets BIN, WORK, PORT, SHARDS and DAEMONS, sources
# lib.sh, and defines config() (the folder's one file) and, if wanted, EXTRA
# (further keys of every search upstream).
#
# Ports: daemons at PORT + 10 n, platform at PORT + 90, search upstreams from
# PORT + 100, order upstreams from PORT + 200.

ZONES=(sierra-a costa-a austro-a)
PLATFORM=$((PORT + 90))
EXTRA=""


caller_port() { echo $((PORT + $1 * 10)); }
search_port() { echo $((PORT + 100 + $1 * 3 + $2)); }
order_port() { echo $((PORT + 200 + $1)); }

REVISION=0
SNAPSHOTS='["parts-1"]'
INCARNATION=first
LEAVING=""

list() { # with REVISION, SNAPSHOTS, INCARNATION, LEAVING
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

search() { # SHARD REPLICA INCARNATION [KEY=VALUE...]
	local shard=$1 replica=$2 incarnation=$3
	shift 3
	start "search-$shard-$replica" "$BIN/test/standin-upstream" \
		"search-$shard-$replica" "$(search_port $shard $replica)" $shard $SHARDS \
		"$incarnation" parts-1,parts-2 slots=3 work_ms=3 $EXTRA "$@"
}

orders() { # REPLICA INCARNATION
	start "order-$1" "$BIN/test/standin-upstream" "order-$1" \
		"$(order_port $1)" 0 1 "$2" parts-1 slots=3 work_ms=3
}

daemon() { # NUMBER [PLATFORM-PORT]
	local next=$((($1 + 1) % DAEMONS))
	settings "entry-$1" "${ZONES[$(($1 % 3))]}" "$(caller_port $1)" "${2:-$PLATFORM}" \
		"entry-$next" "$(caller_port $next)" >"$WORK/entry-$1.json"
	start "entry-$1" "$BIN/src/cuminsaild" "$WORK/entry-$1.json"
}

platform() { # REVISION
	start platform "$BIN/test/standin-platform" $PLATFORM "$WORK/folder" \
		"$WORK/list.json" "$1"
}

control() { curl -s -X PUT "http://127.0.0.1:$PLATFORM/control/$1" >/dev/null; }
fault() { curl -s -X PUT "http://127.0.0.1:$1/control/fault/$2" >/dev/null; }
ask() { # DAEMON
	curl -s -m 5 -X POST "http://127.0.0.1:$(caller_port $1)/v1/services/storefront-search/query" \
		-d '{"query": {"text": "hinge"}, "limit": 3}'
}
whole() { ask "$1" | jq -e '.coverage.complete == true'; }
# Every daemon is asked, for each warms what it owns.
all_whole() {
	local d bad=0
	for d in $(seq 0 $((DAEMONS - 1))); do whole $d >/dev/null || bad=1; done
	return $bad
}
all_ready() { for d in $(seq 0 $((DAEMONS - 1))); do ready $(($(caller_port $d) + 1)) || return 1; done; }
order_once() { # DAEMON
	local ticket
	ticket=$(curl -s -m 5 -X POST "http://127.0.0.1:$(caller_port $1)/v1/services/order-intake/tickets" | jq -r .ticket)
	curl -s -m 5 -X PUT "http://127.0.0.1:$(caller_port $1)/v1/services/order-intake/orders/$ticket" \
		-d '{"order": {}}' | jq -e '.outcome == "answered"'
}
upstream_status() { curl -s "http://127.0.0.1:$(($(caller_port $1) + 1))/v1/upstreams"; }

# Warm every upstream from its owner, wherever that is.
warm() {
	for _ in $(seq 100); do
		for d in $(seq 0 $((DAEMONS - 1))); do ask $d >/dev/null; order_once $d >/dev/null 2>&1; done
		[ "$(for d in $(seq 0 $((DAEMONS - 1))); do upstream_status $d; done |
			jq -s '[.[].upstreams[] | select(.phase != "warm")] | length')" = 0 ] && return 0
	done
	return 1
}

up() { # [search KEY=VALUE...]
	stop_all
	rm -rf "$WORK/folder"
	mkdir "$WORK/folder"
	config >"$WORK/folder/10.json"
	REVISION=0 SNAPSHOTS='["parts-1"]' INCARNATION=first LEAVING=""
	list
	for s in $(seq 0 $((SHARDS - 1))); do for r in 0 1 2; do search $s $r first "$@"; done; done
	for r in 0 1 2; do orders $r first; done
	platform 0
	for d in $(seq 0 $((DAEMONS - 1))); do daemon $d; done
	await 20 all_ready || { echo "fleet not ready"; exit 1; }
	await 20 all_whole || { echo "fleet not whole"; exit 1; }
}

plan() { # SECONDS TARGETS...
	local seconds=$1
	shift
	printf '%s\n' "$@" | jq -R . | jq -s --argjson seconds "$seconds" '
	{seconds: $seconds, seed: 7, targets: .,
	 streams: [
	  {service: "storefront-search", rate: 120, deadline_ms: 600, limit: 5,
	   texts: ["alloy hinge", "steel clamp", "carbon seatpost", "black wheel"]},
	  {service: "order-intake", orders: true, rate: 20, deadline_ms: 800, texts: ["x"]}]}'
}
targets() { for d in $(seq 0 $((DAEMONS - 1))); do echo "127.0.0.1:$(caller_port $d)"; done; }

begin_load() { # SECONDS [TARGET...]
	local seconds=$1
	shift
	[ $# = 0 ] && set -- $(targets)
	plan "$seconds" "$@" >"$WORK/plan.json"
	: >"$WORK/past.json"
	"$BIN/src/cuminsail" --json --record "$WORK/record" load "$WORK/plan.json" \
		>"$WORK/report.json" 2>&1 &
	LOAD=$!
}
