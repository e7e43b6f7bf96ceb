#!/bin/sh
# Builds the stand-ins of the second review's scripts, without a network.
set -e
cd "$(dirname "$0")/.."
GOPROXY=off go build -buildvcs=false -o target/review2/stand2 ./review/stand2
