#!/bin/sh
# Plays a finding of REPORT-2.md that is no case: review/other-2.sh NAME. Its record goes to target/review-2/NAME.
# Exits like the cases.
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/../target/review-2/$1"
exec "$here/run-case-2.sh" "$1" "$here/../target/review-2/$1"
