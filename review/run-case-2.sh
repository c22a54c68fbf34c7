#!/bin/sh
# usage: run-case-2.sh CLASS FOLDER. Plays a case that writes record.txt into the folder.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
classes=$(cd "$(dirname "$0")/.." && pwd)/target/review-2
java -Xmx512m -cp "$classes" "$1" "$2" &
player=$!
trap 'kill "$player" 2> /dev/null' TERM INT
wait "$player"
code=$?
wait "$player" 2> /dev/null
case $code in
    0) exit 0 ;;
    10) exit 1 ;;
    *) echo "could not run (exit code $code of the player)"; exit 2 ;;
esac
