#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the restart.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
java -Xmx256m -Droot="$root" -cp "$here/../target/classes" PiecesAtRestart "$folder" "$here/record.txt"
status=$?
cat "$folder"/*.log > "$here/run.log" 2> /dev/null
case $status in
    0) exit 0 ;;
    3) exit 1 ;;
    *) exit 2 ;;
esac
