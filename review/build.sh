#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The program itself is built as the deploy file does.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target/review
CGO_ENABLED=0 go build -buildvcs=false -o ../target/review/standin ./standin
