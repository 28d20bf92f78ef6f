#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The programs of the project come from the build line of
# deploy/system.toml, which has to be run before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/review-weights ./review/testdata/weights
go build -buildvcs=false -o target/review-limits ./review/testdata/limits
go build -buildvcs=false -o target/review-cold ./review/testdata/cold
