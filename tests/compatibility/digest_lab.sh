#!/usr/bin/env bash
# digest_lab.sh PROGRAM SCENARIOS: runs the laboratory's scenarios in simulated time and prints one line per run: name,
# seed and digest. digest_lab.sh PROGRAM SCENARIOS DIGESTS: compares them with the recorded digests instead; the exit
# status is 1 if any differs.
#
# A digest covers every number that a run writes but no names, so that the keys of result.json and the words of tables
# may change: the numbers of the table in their order, and those of result.json sorted. Wall time and peak memory are
# excluded.
set -uo pipefail
program=$1 scenarios=$2 recorded=${3:-}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
numbers() { sed -E 's/"[^"]*"//g; s/[A-Za-z_]+[0-9.]+//g' | grep -oE -- '-?[0-9]+(\.[0-9]+)?(e[-+]?[0-9]+)?'; }
sorted_numbers() { numbers | LC_ALL=C sort; }
digest() { echo "$1 $2 $(sha256sum | cut -d' ' -f1)"; }
run_seeds() {  # run_seeds NAME SEED...
  local name=$1 seed
  shift
  for seed; do
    rm -rf "$folder/run"
    "$program" run "$scenarios/$name.json" --seed "$seed" --out "$folder/run" >"$folder/table" || return
    {
      grep -v ' events in .* peak memory ' "$folder/table" | numbers
      sorted_numbers <"$folder/run/result.json"
    } | digest "$name" "$seed"
  done
}
run_all() {
  local name seed
  for name in calm chance crowded drain even hot kill limits mixed ordered outage refusing rolling silent tenants \
    triple vanished zone_orders; do
    run_seeds "$name" 1 2 3 || echo "$name failed"
  done
  run_seeds zone 1 || echo "zone failed"
  for seed in 1 1001; do "$program" scripts --count 60 --seed $seed --jobs 2 | numbers | digest scripts $seed; done
  "$program" scripts --print --seed 7 | sorted_numbers | digest script 7
  "$program" soak --print --seed 7 | sorted_numbers | digest soak_scenario 7
}
if [ -z "$recorded" ]; then run_all; else run_all | diff "$recorded" - && echo "all digests match"; fi
