#!/bin/sh
# Builds the programs of the cases 6 to 10, which hold their stand-ins of engines, clients and the platform. Run it after the build line of
# deploy/balancer.toml. It needs no network if that build has run, as it uses the same modules.
set -e
cd "$(dirname "$0")/.."
for n in 6 7 8 9 10; do
	if [ -f "review/$n/main.go" ]; then
		go build -tags review -o "review/$n/bin/" "./review/$n"
	fi
done
