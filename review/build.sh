#!/bin/sh
# Builds the stand-ins of the scripted cases to target/review. Needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
cd review
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../target/review/lab ./lab
