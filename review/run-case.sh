#!/usr/bin/env bash
# usage: run-case.sh CLASS FOLDER. Runs a driver that writes record.txt into the folder.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
set -u
build="$(cd "$(dirname "$0")" && pwd)/build"
java -Xmx2g -cp "$build" "$1" "$2" &
driver=$!
trap 'kill "$driver" 2> /dev/null' TERM INT
wait "$driver"
code=$?
wait "$driver" 2> /dev/null
case $code in
    0) exit 0 ;;
    10) exit 1 ;;
    *) echo "could not run (driver's exit code $code)"; exit 2 ;;
esac
