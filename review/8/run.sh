#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/greengagekeel ] || [ ! -x target/standin-2 ]; then
	echo "build with the build line of deploy/system.toml and review/build-2.sh first" >&2
	exit 2
fi
exec target/standin-2 stale-order . review/8/record.txt
