#!/usr/bin/env bash
# TWICE: a start order without an answer is carried out late by the next life of its executor, after its task has ended. With CHANGE=1 the leader
# is killed after the order.
CASE="$(cd "$(dirname "$0")" && pwd)"
. "$CASE/../standin-3/support.sh"

startDeployment
others=7
takePorts $((2 + others))
executor=i-7f3a91c2
startOne()
{
    startExecutor "$executor" "127.0.0.1:${ports[1]}" lathehall 4000 --registered "127.0.0.1:${ports[0]}" "$@"
}
startProxy "127.0.0.1:${ports[0]}" "127.0.0.1:${ports[1]}" "$WORK/late" 6500
for ((number = 0; number < others; ++number)); do
    startExecutor "i-9b5c13e$number" "127.0.0.1:${ports[2 + number]}" lathehall 16000
done
startOne
first="$EXECUTOR_PID"
waitFor 5 hasRecorded "executor $executor up" || giveUp "the executor does not start"
sleep 6

leader="$(leaderNumber)" || giveUp "no entry host leads"
job=5c0e7a21d94b36f8
[ "$TROUBLE" = 1 ] && touch "$WORK/late"
call $(((leader + 1) % ENTRY_HOSTS)) POST "/lathe/$job" '{"Spec":"cpu=1000 work=400","Steps":[{"Count":1,"Cpu":1000,"MemMb":256,"EstimateMs":400}]}' > /dev/null &
if [ "$TROUBLE" = 1 ]; then
    waitFor 3 hasRecorded "order without an answer" || giveUp "no order was sent"
else
    waitFor 3 hasRecorded "start .*task=$job" || giveUp "no order was sent"
fi
sent="$(now)"
if [ "${CHANGE:-0}" = 1 ]; then
    kill -KILL "${ENTRY_PIDS[leader]}"
    note "killed entry host $leader, the leader"
fi
waitFor 6 hasRecorded "end .*task=$job.0.0.0 .*how=done" || giveUp "the job does not run"
while [ "$(now)" -lt $((sent + 6200)) ]; do
    sleep 0.02
done
note "the job: $(call $(((leader + 1) % ENTRY_HOSTS)) GET "/lathe/$job")"
kill -KILL "$first"
wait "$first" 2>/dev/null
note "killed $executor"
startOne --first-check-in-ms 1500
sleep 4
keepLogs

starts="$(grep -c "start .*task=$job.0.0.0" "$RECORD")"
ended="$(grep "end .*task=$job.0.0.0 .*how=done" "$RECORD" | head -1)"
after="$(grep "start .*task=$job.0.0.0" "$RECORD" | awk -v end="${ended%% *}" '$1 > end')"
if [ -n "$after" ]; then
    note "TWICE: started after a run had ended done: $after"
    echo "TWICE: $after"
    exit 1
fi
echo "held: $starts starts"
exit 0
