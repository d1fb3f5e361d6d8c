#!/bin/sh
# Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
CASE_FOLDER=$(pwd) ROOT=$(cd ../.. && pwd) exec java -Xmx1g -XX:+UseSerialGC -cp ../src-2/classes GroupsCase
