#!/usr/bin/env bash
# Compiles the stand-ins and the drivers of all cases into review/build. Needs only the JDK.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -nowarn -d build standins/*.java
