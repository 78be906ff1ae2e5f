#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the system: the stand-ins of the store, the replicas and
# the clients, as one program. Needs nothing but Go; it has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
CGO_ENABLED=0 GOFLAGS=-mod=mod go build -o ../../target/review-2 .
