#!/bin/sh
# Builds the stand-ins of the review's cases into review/bin. The project's own programs come from the deploy file's build line.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/ ./review/...
