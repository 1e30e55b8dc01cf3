# Checks the record of a load. Input: an array of exchanges. Output: an array with
# one string for each breach. Arguments:
#   $runs          number of runs of each request id, over all upstreams
#   $sizes         number of documents in each shard
#   $best          ids of the best hits of a brute-force search, by snapshot and
#                  text
#   $any_coverage  accept any number of documents answered; without it the number
#                  must be the sum of a subset of $sizes
def subset_sums: reduce .[] as $n ([0]; . + map(. + $n)) | unique;

def check_order:
	.ticket as $ticket | ($ticket / "~")[3] as $nonce
	| ($runs[$nonce] // 0) as $n
	| (if $n > 1 then "order \($nonce) ran \($n) times" else empty end),
	  (if (.said | index("answered")) and $n != 1
	   then "order \($nonce) answered, ran \($n) times" else empty end),
	  (if (.said | index("not-run")) and $n != 0
	   then "order \($nonce) not-run, ran \($n) times" else empty end);

def check_query:
	.answer as $a | .text as $text
	| if $a.outcome == "answered" then
		(if any($a.hits[]; .fields.snapshot != $a.snapshot)
		 then "\($a.request_id): hits from another snapshot" else empty end),
		(if $a.coverage.documents != ($sizes | add)
		 then "\($a.request_id): coverage is not of all documents" else empty end),
		(if ($a.coverage.documents_answered | IN(($sizes | subset_sums)[])
		     or $any_coverage) | not
		 then "\($a.request_id): impossible coverage \($a.coverage)" else empty end),
		(if $a.coverage.complete and ($a.hits | map(.id)) != $best[$a.snapshot][$text]
		 then "\($a.request_id): complete, but the hits differ from a brute-force search" else empty end),
		(if ($a.hits | map(.id) | unique | length) != ($a.hits | length)
		 then "\($a.request_id): a duplicate hit" else empty end)
	  elif $a.outcome == "not-run" and ($runs[$a.request_id] // 0) > 0
	  then "\($a.request_id): not-run, but ran"
	  else empty end;

[.[] | if .ticket then check_order else check_query end]
