#!/bin/sh
# Builds the programs that the scripts of the cases 6 to 10 start beside those of the deploy file: the stand-ins and the
# driver of each case, in one program.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/second ./review/second/cmd/second
