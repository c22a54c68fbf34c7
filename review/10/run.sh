#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -d ../../target/review-2 ] || { echo "could not run: build the deploy file and review/build-2.sh first"; exit 2; }
exec java -Xmx512m -cp ../../target/review-2 LastAnswers "$PWD"
