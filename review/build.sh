#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. The project's own store emulator is a
# package that is linked into them. Needs no network once the modules of go.mod are there.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-rig ./review/rig
