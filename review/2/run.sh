#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
exec java -Xmx1g -Drepository="$(cd ../.. && pwd)" -cp ../build RoomLeft "$(pwd)/record.txt"
