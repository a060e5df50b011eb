#!/usr/bin/env bash
# The manifest grows by many routes, then the final fault; slow links.
set -u
cd "$(dirname "$0")"
exec timeout 115 java -cp ../standins-2/target ManyRoutes ../.. .
