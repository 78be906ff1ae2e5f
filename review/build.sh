#!/bin/sh
# Builds the stand-ins that the scripts start. It needs the Go toolchain and no network.
cd "$(dirname "$0")/standin" || exit 2
exec go build -o ../../target/review-standin .
