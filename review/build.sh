#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -d target standins/*.java
