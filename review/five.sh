#!/usr/bin/env bash
# Runs a case five times with the disruption and once without, and prints how often it failed: five.sh N
cd "$(dirname "$0")/$1" || exit 2
for round in 1 2 3 4 5; do
    ./run.sh
    echo "case $1, round $round: exit code $?"
done
TROUBLE=0 ./run.sh
echo "case $1, without the disruption: exit code $?"
