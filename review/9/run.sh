#!/usr/bin/env bash
# One of eleven workers crashes while it runs a wide job. The leader takes longer over the lost runs than its lease, loses
# it before anything is kept, and so does each leader after it: no job goes on any more, for good.
set -u
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt
: >"$record"
source "$here/../9/fleet.sh"
fleet 11
for n in {1..11}; do worker "$n"; done
first_config || exit 2
sleep 3

wide=00000000000000a1 small=00000000000000b2
printf '{"job":"work=9000","stages":[{"count":6000,"cpu":2,"mem_mb":10,"estimate_ms":9000}]}' >"$folder/wide.json"
printf '{"job":"work=1000","stages":[{"count":2,"cpu":500,"mem_mb":256,"estimate_ms":1000}]}' >"$folder/small.json"
answer=$(submit 1 "/loads/$wide" "$folder/wide.json")
[ "${answer%% *}" = 200 ] || { say "the wide job was not accepted"; exit 2; }
sleep 3
where=$(grep -c " start $wide" "$folder"/worker-*.txt | sort -t: -k2 -n | tail -n 1)
busiest=${where##*worker-} busiest=${busiest%%.txt*}
say "worker $busiest runs ${where##*:} tasks of the wide job"
if [ "${TROUBLE:-1}" != 0 ]; then
  say "worker $busiest crashes"
  kill -KILL "${pid_of[worker-$busiest]}"
fi
answer=$(submit 2 "/loads/$small" "$folder/small.json")
[ "${answer%% *}" = 200 ] || say "the small job was not accepted"
traffic_ended=$(date +%s)
if [ "${TROUBLE:-1}" != 0 ]; then
  sleep 4
  say "worker $busiest is back, under a new id"
  worker "$busiest" --id "i-$busiest-again"
fi

# finish_s after the traffic has ended: for 12 s, do the jobs end, and does any worker start or run anything?
while [ $(($(date +%s) - traffic_ended)) -lt 26 ]; do sleep 0.5; done
starts() { cat "$folder"/worker-*.txt | grep -c " start "; }
before=$(starts)
done_wide=no answers=()
for ((i = 0; i < 24; ++i)); do
  shown=$(ask $((i % 3 + 1)) GET "/loads/$wide")
  answers+=("${shown%% *}")
  [[ $shown == *finished* ]] && { done_wide=yes; break; }
  sleep 0.5
done
say "GET of the wide job, one daemon after another: ${answers[*]}; the last: $shown"
for n in {1..11}; do
  say "worker $n: $(grep -c ' start ' "$folder/worker-$n.txt") starts, $(grep -c ' done$' "$folder/worker-$n.txt") ended done, $(grep -c ' lapsed$' "$folder/worker-$n.txt") lapsed"
done
say "starts from $before to $(starts) meanwhile; $(cat "$folder"/edge-*.log | grep -c 'ALARM leads term') times a scheduler began to lead, $(cat "$folder"/edge-*.log | grep -c 'its lease lapsed') times one lost its lease"
grep -h 'longest [0-9]\{4,\}' "$folder"/edge-*.log | tail -n 2 | cut -c1-200 >>"$record"
say_runs
if [ "$done_wide" = yes ]; then
  say "held"
  exit 0
fi
if [ "$(starts)" = "$before" ]; then
  say "LOST: an accepted job has had nothing running for over 3 s, with room for it many times over"
  exit 1
fi
say "not finished, but it goes on"
exit 0
