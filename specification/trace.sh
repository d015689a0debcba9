#!/bin/sh
# Writes random runs of a model and replays them through the shipped code.
# Usage: trace.sh MODEL.pml REPLAY_PROGRAM SEEDS [EDIT]   EDIT is a sed expression that breaks the expected steps.
set -eu
model=$1
program=$2
seeds=$3
edit=${4:-}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp "$model" "$work/model.pml"
cd "$work"
n=1
while [ "$n" -le "$seeds" ]; do
    echo "run $n"
    calm=""
    [ $((n % 3)) -eq 0 ] || calm=-DCALM
    spin -DNO_CRASH $calm -T "-n$n" model.pml | grep '^ *step' || true
    n=$((n + 1))
done >traces
sed -i "$edit" traces
"$program" traces
