#!/bin/sh
# Builds the stand-ins that the scripts of review/N start. Needs a JDK 17 and nothing else.
set -e
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac -Xlint:all -Werror -d target/classes src/*.java
