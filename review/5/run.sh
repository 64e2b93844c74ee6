#!/usr/bin/env bash
# Plays the case once; TROUBLE=0 leaves the disruption out. Needs the build of
# the deploy file and review/build.sh.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
program="review/out/case_$(basename "$folder")"
[ -x "$program" ] && [ -x target/hemlockdoor ] || { echo "not built" >&2; exit 2; }
timeout -k 5 115 "$program" "$folder"
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
