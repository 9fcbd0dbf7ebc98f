#!/bin/sh
# Builds the programs that the scripts of the second review start, beside those of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
for folder in review/[0-9]*; do
	case ${folder#review/} in
	[1-5]) ;;
	*) go build -o "bin/review-${folder#review/}" "./$folder" ;;
	esac
done
