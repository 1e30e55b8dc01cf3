# Functions of the scripts that start real processes. The script that sources it
# sets BIN (build directory) and WORK (temporary directory).

PIDS=""

# start NAME COMMAND...: runs a command in the background, with its output in
# WORK/NAME.log, and stores its process id for pid_of.
start() {
	_name=$1
	shift
	"$@" >"$WORK/$_name.log" 2>&1 &
	eval "PID_$(echo "$_name" | tr -c 'a-zA-Z0-9\n' _)=$!"
	PIDS="$PIDS $!"
}

# pid_of NAME: prints the process id of a started process.
pid_of() {
	eval "echo \$PID_$(echo "$1" | tr -c 'a-zA-Z0-9\n' _)"
}

# stop_all: kills every process that start has started, also suspended ones.
stop_all() {
	for _pid in $PIDS; do
		kill -CONT "$_pid" 2>/dev/null || true
		kill -KILL "$_pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	PIDS=""
}

# wait_until SECONDS COMMAND...: runs the command every 50 ms until it succeeds;
# fails after about SECONDS.
wait_until() {
	_attempts=$(($1 * 20))
	shift
	until "$@" >/dev/null 2>&1; do
		_attempts=$((_attempts - 1))
		[ "$_attempts" -gt 0 ] || return 1
		sleep 0.05
	done
}

# is_ready PORT: whether the daemon with this operator port is ready.
is_ready() {
	curl -sf "http://127.0.0.1:$1/ready"
}

# Creates a new key pair of the fleet in PUBLIC_KEY and SECRET_KEY.
make_keys() {
	_pair=$("$BIN/src/cuminsail" keys)
	PUBLIC_KEY=$(echo "$_pair" | jq .public_key)
	SECRET_KEY=$(echo "$_pair" | jq .secret_key)
}

# print_settings ID ZONE BASE PLATFORM-PORT PEER-ID PEER-BASE: prints the settings
# of one daemon. BASE is the caller port, BASE + 1 the operator port and BASE + 2
# the peer port; PEER-BASE is the BASE of the peer.
print_settings() {
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
