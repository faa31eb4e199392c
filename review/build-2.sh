#!/bin/sh
# Builds every stand-in that the scripts of review/4 to review/8 start, and the programs of
# the project beside the controller. The controller itself is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review2-rig ./review/rig2
go build -o target/ ./cmd/outputs ./cmd/capture
