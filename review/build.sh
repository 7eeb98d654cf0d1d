#!/bin/sh
# Builds the stand-ins and the cases with the JDK alone, into review/build.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir build
javac -encoding UTF-8 -d build standin/*.java [0-9]/*.java
