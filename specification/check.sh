#!/bin/sh
# Checks one model exhaustively with spin.
# Usage: check.sh MODEL.pml [MUTANT]   With a mutant, passes only if a property is violated.
set -eu
model=$1
mutant=${2:-}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp "$model" "$work/model.pml"
cd "$work"
if [ -n "$mutant" ]; then
    grep -q "ifn\{0,1\}def $mutant\$" model.pml || { echo "no such mutant: $mutant"; exit 1; }
    spin -D"$mutant" -a model.pml
else
    spin -a model.pml
fi
gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=800 -o pan pan.c
./pan -E -m100000 >report
grep -E 'errors:|states, stored|assertion violated' report
# A search that stopped for memory or depth is not exhaustive.
if grep -qE 'max search depth too small|out of memory|reached -DMEMLIM|Search not completed' report && [ -z "$mutant" ]; then
    cat report
    exit 1
fi
if [ -n "$mutant" ]; then
    grep -q 'assertion violated' report
else
    grep -q 'errors: 0' report
fi
