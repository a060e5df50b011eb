#!/usr/bin/env bash
# Another writer's unreadable entry in the list of servers, then the final fault.
set -u
cd "$(dirname "$0")"
exec timeout 115 java -cp ../standins-2/target UnreadableEntry ../.. .
