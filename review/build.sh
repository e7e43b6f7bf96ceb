#!/usr/bin/env bash
# Builds the stand-ins that the cases start, without a network: the program stand holds the users' store,
# runners and callers. The program under test is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
GOPROXY=off go build -buildvcs=false -o review/bin/stand ./review/stand
