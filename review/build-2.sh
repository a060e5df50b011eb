#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and above start; needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p target
javac --release 17 -Xlint:all -d target ./*.java
