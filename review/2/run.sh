#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
java -Xmx1g -Drepository="$(cd ../.. && pwd)" -cp ../build WaitingJobs "$(pwd)/record.txt" &
pid=$!
trap 'kill $pid' INT TERM
wait $pid
status=$?
# The Java launcher exits with 1, too, where it can't start the program.
if [ $status -eq 1 ] && ! grep -qs ' exit 1$' record.txt; then exit 2; fi
exit $status
