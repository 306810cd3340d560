#!/usr/bin/env bash
# Starts a small linnetdale on loopback, sends requests, kills an entry host and the leader, and
# shows that requests and table changes go on. Exits 0 only when every step gave what it should.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --locked --quiet
bin=target/debug
work=$(mktemp -d)
# A loopback address drawn by chance keeps the ports of two runs apart.
ip="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1)).$((RANDOM % 250 + 1))"
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT
fail() { echo "demo: FAILED: $*" >&2; tail -n 5 "$work"/*.log >&2; exit 1; }
step() { echo; echo "== $*"; }
start() { # name, command...
  local name=$1; shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!); eval "pid_${name//-/_}=$!"
}
# Runs a command until it succeeds or the time is up.
until_ok() {
  local tries=$1; shift
  for _ in $(seq "$tries"); do if "$@" >"$work/out" 2>&1; then return 0; fi; sleep 0.1; done
  cat "$work/out" >&2; return 1
}

step "start: 3 control hosts, 3 entry hosts, targets and a host list, all on $ip"
echo "k1 $(head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n')" >"$work/peer.keys"
export LINNET_PEER_KEYS="$work/peer.keys" LINNET_OPERATOR_KEY="demo-operator"
LINNET_OPERATOR_DIGESTS=$($bin/linnetctl key "$LINNET_OPERATOR_KEY")
export LINNET_OPERATOR_DIGESTS
halls=(waco-hall temple-hall bryan-hall)
targets=()
port=7000
for hall in "${halls[@]}"; do
  for spec in stage:encode:encoders stage:retrieve:retrievers stage:rerank:rerankers engine:engine:linnet-pool service:orders:orders; do
    IFS=: read -r kind name pool <<<"$spec"
    targets+=(--target "$kind:$name-$hall:$pool:$hall:$ip:$port"); port=$((port + 1))
  done
done
start fakes $bin/linnet-fakes --host-list "$ip:6999" "${targets[@]}"
control_peers="$ip:7100,$ip:7101,$ip:7102"
export LINNET_CONTROL_OPS="$ip:7200,$ip:7201,$ip:7202"
for i in 0 1 2; do
  start "control-$i" $bin/linnet-control --name "control-$i" --hall "${halls[$i]}" --data "$work/control-$i" \
    --peer-listen "$ip:$((7100 + i))" --ops-listen "$ip:$((7200 + i))"
  start "entry-$i" $bin/linnet-entry --name "entry-$i" --hall "${halls[$i]}" --caller-listen "$ip:$((8000 + i))" \
    --peer-listen "$ip:$((7300 + i))" --ops-listen "$ip:$((7400 + i))" --control "$control_peers" \
    --hall-peers "$ip:$((7300 + i))" --host-list "$ip:6999"
done

step "form the cluster and apply a table"
until_ok 50 $bin/linnetctl init || fail "the cluster was not formed"
cat "$work/out"
key=$($bin/linnetctl key yard-key)
cat >"$work/table.csv" <<CSV
kind,account,pipeline,stage,position,pool,weight,rate,in_flight,tokens,deadline_ms,repeatable,streams,key_digest
pipeline,,yard-desk,,,,,,,,5000,yes,,
stage,,yard-desk,encode,1,encoders,,,,,,,no,
stage,,yard-desk,retrieve,2,retrievers,,,,,,,no,
stage,,yard-desk,rerank,3,rerankers,,,,,,,no,
stage,,yard-desk,generate,4,linnet-pool,,,,,,,yes,
service,,orders,,,orders,,,,,5000,no,,
account,brazos,,,,,10,,,,,,,$key
CSV
until_ok 50 $bin/linnetctl table apply "$work/table.csv" --wait || fail "the table was not taken"
cat "$work/out"
grep -q "^version 1$" "$work/out" || fail "the table is not at version 1"
for i in 0 1 2; do until_ok 50 curl -fsS "http://$ip:$((8000 + i))/ready" || fail "entry-$i is not ready"; done

ask() { # port, extra curl arguments...
  local port=$1; shift
  curl -sS -m 10 -D "$work/head" -H "authorization: Bearer yard-key" -H "x-deadline-ms: 4000" "$@" \
    -d '{"marker":"demo","tokens":6}' "http://$ip:$port/v1/pipelines/yard-desk"
}
step "a request through entry-0, streamed"
ask 8000 -N | tee "$work/answer"
grep -q '"count":6,"end":true' "$work/answer" || fail "the stream has no end mark"
request=$(sed -n 's/^x-request-id: \([^\r]*\).*/\1/p' "$work/head")
step "a request through entry-1 that may run only once, sent twice under one key"
ask 8001 -H "x-repeatable: no" -H "x-request-key: order-7" >"$work/first"; cat "$work/first"; echo
ask 8002 -H "x-repeatable: no" -H "x-request-key: order-7" >"$work/second"; cat "$work/second"; echo
cmp -s "$work/first" "$work/second" || fail "the second sending did not get the recorded answer"
grep -q '"tokens"' "$work/first" || fail "the claimed request has no answer"
step "a plain service"
curl -sS -H "authorization: Bearer yard-key" -H "x-deadline-ms: 2000" -H "x-request-key: order-8" \
  -d '{"boards":12}' "http://$ip:8000/v1/services/orders/new" | tee "$work/answer"; echo
grep -q "^POST /new" "$work/answer" || fail "the service did not answer"

step "status"
$bin/linnetctl status | tee "$work/status"
[ "$(grep -c '^entry .*version=1 lag=0' "$work/status")" = 3 ] || fail "an entry host lags"
step "time line of the claimed request, over the entry host and the voters"
claimed=$(sed -n 's/.*"request":"\([^"]*\)".*/\1/p' "$work/first")
$bin/linnetctl timeline --request "$claimed" | tee "$work/timeline"
grep -q "control-.* ClaimCommitted" "$work/timeline" || fail "the time line does not show the claim at a control host"
step "time line of the first request"
$bin/linnetctl timeline --request "$request" | tee "$work/timeline"
[ "$(grep -c AttemptFinished "$work/timeline")" = 4 ] || fail "the time line has not all four stages"

step "kill entry-0 and the leader"
leader=$(awk '/^control .* leader / {print $2; exit}' "$work/status")
[ -n "$leader" ] || fail "no leader in the status"
lead_var="pid_${leader//-/_}"
kill -9 "${!lead_var}" "$pid_entry_0"
echo "killed $leader and entry-0"
ask 8001 -N >"$work/answer"
grep -q '"end":true' "$work/answer" || fail "no answer after the kills"
echo "a request through entry-1 was answered whole"
sed -i 's/^account,brazos,,,,,10/account,brazos,,,,,20/' "$work/table.csv"
until_ok 80 $bin/linnetctl table apply "$work/table.csv" --wait || fail "no change after the kills"
cat "$work/out"
grep -q "^version 2$" "$work/out" || fail "the change did not make version 2"
$bin/linnetctl status
echo
echo "demo: every step gave what it should"
