#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, review/4 and up, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/standin2
