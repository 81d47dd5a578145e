#!/bin/sh
# Replays the renames of the gateway's shared names on a whole checkout. Run from its root; running it again changes nothing.
set -eu
[ "$#" -eq 0 ] || { echo "usage: tools/gwhttp.sh" >&2; exit 2; }
map=$(dirname "$0")/gwhttp.map
source=crates/gateway/src
move() { if [ -e "$1" ]; then git mv "$1" "$2"; fi; }
move $source/office.rs $source/shared_runtime.rs
move $source/keeper.rs $source/supervisor.rs
move $source/inbox.rs $source/datagram_receiver.rs
{ find crates/gateway -name '*.rs'; find crates -name '*.rs' -not -path 'crates/gateway/*' -exec grep -l 'milletpath_gateway' {} +; } |
    sort -u | grep -v /target/ | xargs python3 -c '
import re, sys
pairs = dict(l.split() for l in open(sys.argv[1]) if l.strip() and l[0] != "#")
skip = r"//[^\n]*|\"(?:\\.|[^\"\\])*\"|\x27(?:\\.[^\x27]*|[^\x27\\\n])\x27"
words = re.compile("(?P<skip>" + skip + ")|\\b(?P<word>" + "|".join(pairs) + ")\\b", re.S)
# Methods and fields of the shared state, known by what stands before them.
members = [
    (r"\bshared_runtime(\(\))?(\s*)\.house\b", r"shared_runtime\1\2.config"),
    (r"\bshared_runtime(\s*)\.tell\(", r"shared_runtime\1.with_dispatcher("),
    (r"\bshared_runtime(\s*)\.ask\(", r"shared_runtime\1.query_dispatcher("),
    (r"\bshared_runtime(\s*)\.list\(", r"shared_runtime\1.update_endpoints("),
    (r"\bshared_runtime(\s*)\.tally\(", r"shared_runtime\1.counters("),
    (r"\bshared_runtime(\s*)\.overdue\(", r"shared_runtime\1.is_overdue("),
    (r"\bdatagram_receiver(\s*)\.next\(", r"datagram_receiver\1.receive("),
    (r"\bdatagram_receiver(\s*)\.turns\(", r"datagram_receiver\1.is_tick_due("),
    (r"\bmod keeper\b", "mod supervisor"), (r"\bkeeper::", "supervisor::"),
]
for path in sys.argv[2:]:
    text = old = open(path).read()
    text = words.sub(lambda m: m["skip"] if m["skip"] is not None else pairs[m["word"]], text)
    for pattern, new in members:
        text = re.sub(pattern, new, text)
    if text != old:
        open(path, "w").write(text)
' "$map"
# The definitions themselves.
perl -0pi -e 's/pub house: GatewayConfig/pub config: GatewayConfig/; s/\bpub fn tell</pub fn with_dispatcher</; s/self\.tell\(/self.with_dispatcher(/g; s/pub fn ask</pub fn query_dispatcher</; s/self\.ask\(/self.query_dispatcher(/g; s/pub fn list\(/pub fn update_endpoints(/; s/pub fn overdue\(/pub fn is_overdue(/; s/pub fn tally\(/pub fn counters(/; s/self\.house\b/self.config/g; s/pub fn new\(house: GatewayConfig\)/pub fn new(config: GatewayConfig)/; s/\bhouse\.limits/config.limits/g; s/Dispatcher::new\(&house/Dispatcher::new(&config/; s/            house,\n/            config,\n/' $source/shared_runtime.rs
perl -0pi -e 's/pub fn next\(/pub fn receive(/; s/pub fn turns\(/pub fn is_tick_due(/; s/let turns = /let due_now = /; s/if turns \{/if due_now {/; s/        turns\n/        due_now\n/' $source/datagram_receiver.rs
cargo fmt
