#!/usr/bin/env bash
# Wide jobs with long texts: the leader makes a copy of a job's text for each task that it orders, and so do the agents.
# Both go over the memory of their machines, one leader after another.
set -u
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt
: >"$record"
source "$here/../9/fleet.sh"
text_bytes=4000
[ "${TROUBLE:-1}" = 0 ] && text_bytes=40
fleet 3
for n in 1 2 3; do worker "$n"; done
first_config || exit 2
sleep 3

text="work=60000 $(head -c $((text_bytes - 11)) /dev/zero | tr '\0' x)"
printf '{"job":"%s","stages":[{"count":1000,"cpu":1,"mem_mb":4,"estimate_ms":60000}]}' "$text" >"$folder/wide.json"
accepted=0
for ((j = 10; j < 26; ++j)); do
  answer=$(submit $((j % 3 + 1)) "/loads/00000000000000$j" "$folder/wide.json")
  [ "${answer%% *}" = 200 ] && accepted=$((accepted + 1))
  platform
  sleep 0.05
done
say "$accepted of 16 jobs accepted"
[ "$accepted" -gt 0 ] || exit 2
until=$(($(date +%s) + 30))
for ((i = 1; $(date +%s) < until; ++i)); do
  platform
  sleep 0.1
  [ $((i % 20)) = 0 ] && say "GET at edge-$((i / 20 % 3 + 1)): $(ask $((i / 20 % 3 + 1)) GET /loads/0000000000000010)"
done
core=0 all=0
for name in edge-1 edge-2 edge-3 side-1 side-2 side-3; do
  say "$name ended ${ended[$name]:-0} times"
  [ "${ended[$name]:-0}" -ge 3 ] || continue
  all=$((all + 1))
  [[ $name == edge-* ]] && core=$((core + 1))
done
for n in 1 2 3; do say "worker $n: $(grep -c ' start ' "$folder/worker-$n.txt") starts"; done
say_runs
if [ "$core" -ge 2 ]; then
  say "Fault: on $core of the 3 machines of the core processes ended three times or more, with no trouble there"
  exit 1
fi
say "held"
exit 0
