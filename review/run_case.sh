# Runs the stand-in of the case in the folder given as the argument. Sourced by each run.sh.
set -uo pipefail
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
number=$(basename "$folder")
daemon=$root/target/ragwortwinch/ragwortwinchd
program=$root/target/review/case-$number
[[ -x $daemon && -x $program ]] || { echo "build the deploy file and review/build.sh first"; exit 2; }
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
cd "$root" || exit 2
"$program" "$daemon" "$temporary" "$folder/record.txt"
result=$?
[[ -z ${KEEP_LOGS:-} ]] || cp "$temporary"/*.log "$KEEP_LOGS"/
# Anything but a verdict means that the case couldn't run.
[[ $result -le 2 ]] || result=2
exit $result
