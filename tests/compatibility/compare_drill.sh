#!/usr/bin/env bash
# compare_drill.sh PROGRAM INPUT.gz OUTPUT.gz: feeds recorded batches to the adapter program and compares its replies
# with the recorded ones, line by line. The text of TRACE actions may change and is ignored.
set -uo pipefail
program=$1 input=$2 output=$3
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
without_trace_text() { sed -E 's/"message":"([^"\\]|\\.)*"/"message":""/g'; }
zcat "$output" | without_trace_text >"$folder/expected" || exit 2
zcat "$input" >"$folder/input" || exit 2
"$program" <"$folder/input" | without_trace_text >"$folder/got"
status=$?
if [ "$status" -ne 0 ]; then echo "$program exited with status $status"; fi
if ! cmp -s "$folder/expected" "$folder/got"; then
  message=$(cmp "$folder/expected" "$folder/got" 2>&1)
  line=$(sed -nE 's/.* line ([0-9]+)$/\1/p' <<<"$message")
  case $message in *EOF*) line=$((${line:-0} + 1)) ;; esac  # cmp names the last line of the shorter file, which matches
  echo "first difference in line $line of $(wc -l <"$folder/expected"):"
  for part in input expected got; do echo "$part: $(sed -n "${line}p" "$folder/$part")"; done
  exit 1
fi
[ -s "$folder/expected" ] || { echo "the recorded output is empty"; exit 2; }
exit "$status"
