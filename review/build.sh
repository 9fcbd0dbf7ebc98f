#!/bin/sh
# Builds the program that plays the cases of the review: all stand-ins are parts of it. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/stage
