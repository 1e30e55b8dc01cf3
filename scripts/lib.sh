# Shared by the scripts that start real processes: start, stop, wait, settings.
# The caller sets BIN (build directory) and WORK (scratch directory).

PIDS=""

# start NAME COMMAND...: run in the background, remember the process id.
start() {
	_name=$1
	shift
	"$@" >"$WORK/$_name.log" 2>&1 &
	eval "PID_$(echo "$_name" | tr -c 'a-zA-Z0-9\n' _)=$!"
	PIDS="$PIDS $!"
}

# pid_of NAME: the process id of a started process.
pid_of() {
	eval "echo \$PID_$(echo "$1" | tr -c 'a-zA-Z0-9\n' _)"
}

# stop_all: end every process that was started here, by its id.
stop_all() {
	for _pid in $PIDS; do
		kill -CONT "$_pid" 2>/dev/null || true
		kill -KILL "$_pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	PIDS=""
}

# await SECONDS COMMAND...: poll until the command succeeds.
await() {
	_left=$(($1 * 20))
	shift
	until "$@" >/dev/null 2>&1; do
		_left=$((_left - 1))
		[ "$_left" -gt 0 ] || return 1
		sleep 0.05
	done
}

ready() {
	curl -sf "http://127.0.0.1:$1/ready"
}

# The fleet's key pair, made afresh for each run.
make_keys() {
	_pair=$("$BIN/src/cuminsail" keys)
	PUBLIC_KEY=$(echo "$_pair" | jq .public_key)
	SECRET_KEY=$(echo "$_pair" | jq .secret_key)
}

# settings ID ZONE BASE PLATFORM-PORT PEER-ID PEER-BASE: one daemon's settings.
# BASE is the caller port; +1 operators, +2 peers.
settings() {
	cat <<END
{
	"instance": "$1", "zone": "$2",
	"caller": {"address": "127.0.0.1", "port": $3},
	"operators": {"address": "127.0.0.1", "port": $(($3 + 1))},
	"platform": {"address": "127.0.0.1", "port": $4},
	"peer": {
		"address": "127.0.0.1", "port": $(($3 + 2)),
		"public_key": $PUBLIC_KEY,
		"secret_key": $SECRET_KEY,
		"peers": [{"id": "$5", "address": "127.0.0.1", "port": $(($6 + 2))}]
	},
	"limits": {"drain_ms": 500, "stop_ms": 10000, "ready_peers": 1,
		"body_max": 8192, "receive_ms": 1000, "idle_ms": 2500}
}
END
}
