#!/bin/sh
# Builds every stand-in that the cases start. It needs the Go tool chain and no network: the stand-ins use the standard library only.
set -eu
cd "$(dirname "$0")/standins"
GOFLAGS= GOWORK=off GOPROXY=off CGO_ENABLED=0 go build -o ../bin/cases .
