# Sourced by the run.sh of each case: starts its driver, which starts all other processes and ends them.
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: without the disruption.
set -u
case_folder=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$case_folder/../.." && pwd)
driver=$root/review/build/case-$(basename "$case_folder")
if [ ! -x "$driver" ] || [ ! -x "$root/build/fernward" ]; then
  echo "build the router (deploy/balancer.toml) and run review/build.sh first" >&2
  exit 2
fi
scratch=$(mktemp -d) || exit 2
pid=
trap 'trap - EXIT; [ -z "$pid" ] || { kill "$pid"; wait "$pid"; } 2>/dev/null; rm -rf "$scratch"; exit 2' INT TERM HUP
"$driver" "$root" "$case_folder" "$scratch" &
pid=$!
wait "$pid"
code=$?
[ -z "${KEEP_LOGS:-}" ] || cp "$scratch"/*.log "$case_folder/"
rm -rf "$scratch"
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
