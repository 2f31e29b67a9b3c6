#!/usr/bin/env bash
# Builds the stand-ins that the cases start, after the build of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/zinclb-emulator ./cmd/zinclb-emulator
