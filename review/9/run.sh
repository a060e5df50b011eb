#!/usr/bin/env bash
# A long manifest changes many times.
set -u
cd "$(dirname "$0")"
exec timeout 115 java -cp ../standins-2/target ManyVersions ../.. .
