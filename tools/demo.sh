#!/usr/bin/env bash
# Starts a small system on the loopback interface, uses it as a caller and as an operator, and stops it gracefully.
# KEEP=1 keeps it running until Enter is pressed and prints commands to try.
set -euo pipefail
cd "$(dirname "$0")/.."
readonly bin=build/ragwortwinch standins=build/testing
readonly work=$(mktemp -d)
readonly key=rw-demo-key-of-the-riders
declare -a started=()

stop_all() {
    for pid in "${started[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${started[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap stop_all EXIT

# start NAME COMMAND...: runs the command in the background and waits until it prints the port it listens on.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    started+=($!)
    echo $! >"$work/$name.pid"
    for _ in $(seq 300); do
        grep -q port= "$work/$name.out" && return
        sleep 0.05
    done
    echo "$name did not print a port within 15 s; its log:" && cat "$work/$name.log" && exit 1
}
port() { grep -o "${2:-port}=[0-9]*" "$work/$1.out" | head -1 | cut -d= -f2; }
# until_shows TEXT COMMAND...: repeats the command until its output contains the text.
until_shows() {
    local text=$1
    shift
    for _ in $(seq 300); do
        "$@" 2>/dev/null | grep -q "$text" && return
        sleep 0.1
    done
    echo "timed out waiting for '$text' in the output of: $*" && exit 1
}

readonly zones=(north-cnx central-bkk south-hdy)
echo "== starting a platform, 3 engines, 2 plain services (stand-ins) and 4 nodes over 3 availability zones"
start platform $standins/platform_stand_in
for i in 0 1 2; do
    start "brew-$((i + 1))" $standins/engine_stand_in --name "brew-$((i + 1))" --token-rate 80 --checks-fencing "$([[ $i = 2 ]] && echo false || echo true)"
done
for i in 0 1; do start "desk-$((i + 1))" $standins/plain_service_stand_in --name "desk-$((i + 1))"; done

hash=$(printf %s "$key" | sha256sum | cut -d' ' -f1)
{
    echo '{ "rules": ['
    echo "{\"rule\": \"team\", \"name\": \"riders\", \"keys\": [\"$hash\"], \"weight\": 2}, // Nok, for the riders' rota"
    echo '{"rule": "route", "path": "/v1/chat/completions", "service": "brew-model", "idempotent": true, "deadline_ms": 30000}, // Nok, chats'
    echo '{"rule": "route", "path": "/orders/", "service": "order-desk", "idempotent": false, "deadline_ms": 8000}, // Ploy, deliveries'
    for i in 0 1 2; do
        echo "{\"rule\": \"endpoint\", \"name\": \"brew-$((i + 1))\", \"service\": \"brew-model\", \"kind\": \"engine\", \"address\": \"127.0.0.1:$(port "brew-$((i + 1))")\", \"availability_zone\": \"${zones[$i]}\", \"region\": \"${zones[$i]%%-*}\", \"checks_fencing\": $([[ $i = 2 ]] && echo false || echo true)}, // operations"
    done
    for i in 0 1; do
        echo "{\"rule\": \"endpoint\", \"name\": \"desk-$((i + 1))\", \"service\": \"order-desk\", \"kind\": \"plain\", \"address\": \"127.0.0.1:$(port "desk-$((i + 1))")\", \"availability_zone\": \"${zones[$i]}\", \"region\": \"${zones[$i]%%-*}\"}, // operations"
    done
    echo '{"rule": "limit", "name": "entry_answer_ms", "value": 1000} // operations, short for the demo'
    echo '] }'
} >"$work/rules.jsonc"

vms=""
for i in 0 1 2 3; do
    zone=${zones[$((i % 3))]}
    cat >"$work/node-$i.jsonc" <<SETTINGS
{
    // The node's name; one node runs on each entry VM.
    "node": "node-$i",
    "availability_zone": "$zone",
    "region": "${zone%%-*}",
    "entry_address": "127.0.0.1:0",
    "admin_address": "127.0.0.1:0",
    "peer_address": "127.0.0.1:0",
    "platform_url": "http://127.0.0.1:$(port platform)",
    "usage_window_ms": 2000
}
SETTINGS
    start "node-$i" $bin/ragwortwinchd --settings "$work/node-$i.jsonc"
    vms+="${vms:+,}{\"name\":\"node-$i\",\"availability_zone\":\"$zone\",\"region\":\"${zone%%-*}\",\"entry_address\":\"127.0.0.1:$(port node-$i entry_port)\",\"peer_address\":\"127.0.0.1:$(port node-$i peer_port)\"}"
done
curl -sf -X PUT "http://127.0.0.1:$(port platform)/control/vms" -d "{\"vms\":[$vms]}" >/dev/null

export RAGWORTWINCH_ADMIN="127.0.0.1:$(port node-0 admin_port)"
echo "== an operator checks the rules and applies them"
$bin/ragwortwinch check "$work/rules.jsonc"
$bin/ragwortwinch apply "$work/rules.jsonc"
for i in 0 1 2 3; do until_shows '"ready":true' curl -s "http://127.0.0.1:$(port node-$i admin_port)/readyz"; done
until_shows 'node-3' curl -s "http://127.0.0.1:$(port node-0 entry_port)/v1/entry"
until_shows 'endpoint=brew-3.*usable=true' $bin/ragwortwinch status
for i in 0 1 2 3; do until_shows 'endpoint=desk-2.*usable=true' env RAGWORTWINCH_ADMIN="127.0.0.1:$(port node-$i admin_port)" $bin/ragwortwinch status; done

first="http://127.0.0.1:$(port node-0 entry_port)"
second="http://127.0.0.1:$(port node-1 entry_port)"
echo "== a caller asks which addresses to use"
curl -sf "$first/v1/entry?zone=south-hdy"; echo
echo "== a chat, streamed (first and last events)"
curl -sfN "$first/v1/chat/completions" -H "Authorization: Bearer $key" -d '{"model":"brew-model","stream":true,"max_tokens":24,"messages":[{"role":"user","content":"Which kombucha goes with som tam?"}]}' >"$work/chat.out"
head -1 "$work/chat.out" && tail -2 "$work/chat.out" | head -1
echo "   events: $(grep -c '^data: {' "$work/chat.out") of 24 tokens, and the terminal marker"
echo "== a booking, sent through each of two nodes with the same idempotency key"
for node in "$first" "$second"; do
    curl -sf "$node/orders/book" -H "Authorization: Bearer $key" -H "Idempotency-Key: order-1" -d '{"id":"crate-77"}' -w '  http=%{http_code}\n'
done
echo "   executions at the order desks: $(for i in 1 2; do curl -s "http://127.0.0.1:$(port desk-$i)/control/state" | grep -o '"crate-77":[0-9]*' || true; done | tr '\n' ' ')"
echo "== metrics of the first node"
curl -s "http://$RAGWORTWINCH_ADMIN/metrics" | grep -E '^ragwortwinch_(requests|answers_whole|output_tokens|replays)_total'
$bin/ragwortwinch status | grep -E '^(node|duty)'

echo "== waiting for the first usage report (sent after the quiet period of a new duty holder)"
until_shows 'riders' curl -s "http://127.0.0.1:$(port platform)/control/state"

if [[ "${KEEP:-}" = 1 ]]; then
    echo
    echo "The system is up. Try, in another terminal:"
    echo "  export RAGWORTWINCH_ADMIN=$RAGWORTWINCH_ADMIN KEY=$key"
    echo "  $bin/ragwortwinch status"
    echo "  curl -N $first/v1/chat/completions -H \"Authorization: Bearer \$KEY\" -d '{\"model\":\"brew-model\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'"
    echo "  kill -9 $(cat "$work/brew-1.pid")      # an engine;  node-2 is $(cat "$work/node-2.pid"), the platform $(cat "$work/platform.pid")"
    echo "  logs and settings: $work"
    echo "Press Enter to stop it."
    read -r _ || sleep infinity
fi

echo "== stopping the nodes gracefully"
for i in 0 1 2 3; do kill -TERM "$(cat "$work/node-$i.pid")"; done
failed=0
for i in 0 1 2 3; do
    if wait "$(cat "$work/node-$i.pid")"; then echo "node-$i: exit 0"; else echo "node-$i: exit $?" && failed=1; fi
done
echo "== usage windows that the platform received"
curl -s "http://127.0.0.1:$(port platform)/control/state" | grep -o '"usage":{.*"usage_conflicts":[0-9]*' | tail -c 900 || true
exit $failed
