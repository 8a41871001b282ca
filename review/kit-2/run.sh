#!/usr/bin/env bash
# run.sh CASE_FOLDER: plays a case with a temporary folder, and passes on its exit code.
set -u
case_folder=$(cd "$1" && pwd)
ROOT=$(cd "$(dirname "$0")/../.." && pwd)
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$ROOT/deploy/balancer.toml")
RECORD=${RECORD:-$case_folder/record.txt}
WORK=$(mktemp -d) || exit 2
export ROOT RUN RECORD WORK
program="$ROOT/build-review-2/case-$(basename "$case_folder")"
if [ ! -x "$program" ]; then
  echo "could not run: $program is missing, run review/build-2.sh"
  rm -rf "$WORK"
  exit 2
fi
child=
trap '[ -n "$child" ] && kill "$child" 2>/dev/null; wait; rm -rf "$WORK"' EXIT
trap 'exit 2' INT TERM HUP
"$program" &
child=$!
wait "$child"
code=$?
child=
for log in "$WORK"/*.log; do
  [ -f "$log" ] || continue
  { echo "---- $(basename "$log")"; tail -n 200 "$log"; } >>"$RECORD"
done
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
