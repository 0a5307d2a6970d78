#!/usr/bin/env bash
# Fails if a name of the users' platform stands outside platform/, its tests and deploy/. Words that ibisshed uses for the
# same thing (for instance "address" or "version") cannot be told apart and are not checked.
set -euo pipefail
cd "$(dirname "$0")/.."
words='kv-(key|range|watch|txn|lease|keep)|expected_rev|store_revision|tombstone|ttl_min_ms|serializable=1'
words+='|run-start|run-stop|/-/hold|/-/pace|/-/advise|until_ms|clock_ms|long_running|same_rack|data_rack|max_per_server'
words+='|may_miss|checkpointing|first_run_ms|stretch_factor|target_duration_ms|enforces_capacity|heartbeat_url'
words+='|Instances\.(Heartbeat|Deregister)|Ibisshed-(Expect-Instance|Lease-Holder|Fencing-Token)|node_name|machine_class'
words+='|internal_ports|decide_ms|each_ms|hold_max_ms|IBISSHED_NODE_FILE|op/(config|evacuate)|/-/readyz|(cold_left|evacuate|max_stretch)_ms|cold_(overrun|tolerance)'
found=$(git ls-files --cached --others --exclude-standard 'Source/*' | grep -v '^Source/UnitTests/Platform/' |
  xargs grep -nE "$words" || true)
if [ -n "$found" ]; then
  echo "words of the platform outside platform/:"
  echo "$found"
  exit 1
fi
echo "check-words: clean"
