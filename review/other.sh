#!/usr/bin/env bash
# Runs one of the findings that are no case (REPORT.md): review/other.sh NAME. Its record goes to review/build/NAME.
# Exits like the cases: 1 broken, 0 held, 2 could not run; TROUBLE=0: no disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
mkdir -p "$here/build/$1"
exec "$here/run-case.sh" "$1" "$here/build/$1"
