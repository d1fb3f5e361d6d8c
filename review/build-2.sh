#!/bin/sh
# Builds the stand-ins of the second review's cases. It needs the JDK alone.
set -e
cd "$(dirname "$0")/src-2"
rm -rf classes
mkdir classes
javac -d classes ./*.java
