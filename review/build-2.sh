#!/bin/sh
# Builds the stand-ins of the second review into target/review-2, from the root of the repository.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in allkilled latin1 lostdisks; do
	go build -buildvcs=false -o "target/review-2/$name" "./review/testdata/second/$name"
done
