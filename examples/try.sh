#!/bin/sh
# Runs a log, two engines, two agents and two entries as separate processes on
# loopback, publishes the herbarium's branch and sends a call. Ends everything.
set -eu
cd "$(dirname "$0")/.."
go build -o bin/graniteknot ./cmd/graniteknot
work=$(mktemp -d)
pids=""
trap 'kill $pids 2>/dev/null; wait 2>/dev/null; rm -rf "$work"' EXIT
gk=bin/graniteknot
herbarium=$($gk settings keygen "$work/herbarium.key")
communications=$($gk settings keygen "$work/communications.key")
start() { "$@" >"$work/$(echo "$*" | tr -c 'a-z0-9\n' '-').log" 2>&1 & pids="$pids $!"; }
start $gk standin log --listen 127.0.0.1:7001
start $gk standin engine --listen 127.0.0.1:9001
start $gk standin engine --listen 127.0.0.1:9002
sleep 1
for name in agent-1 agent-2 entry-1 entry-2; do
	sed "s/HERBARIUM_KEY/$herbarium/; s/COMMUNICATIONS_KEY/$communications/" "examples/$name.ini" >"$work/$name.ini"
	start $gk "${name%-*}" --config "$work/$name.ini"
done
sleep 2
$gk settings publish --log 127.0.0.1:7001 --trust herbarium="$herbarium" --trust communications="$communications" \
	--branch herbarium --partner herbarium --key-file "$work/herbarium.key" --wait 127.0.0.1:8101 examples/herbarium.ini
$gk status --address 127.0.0.1:8102
$gk addresses --entry 127.0.0.1:8101 --key station --service label-reading
curl -sN -H 'Authorization: Bearer station' http://127.0.0.1:8102/v1/completions \
	-d '{"model":"label-reading","prompt":"Quercus robur","max_tokens":4,"stream":true}'
$gk timeline --address 127.0.0.1:8101 | tail -12
