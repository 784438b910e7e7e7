#!/usr/bin/env bash
# Runs the script of a case five times and counts the exit codes: five-2.sh FOLDER
cd "$(dirname "$0")/$1" || exit 2
for run in 1 2 3 4 5; do
    ./run.sh >/tmp/review-five-$$.txt 2>&1
    code=$?
    echo "run $run: exit $code; $(tail -2 /tmp/review-five-$$.txt | tr '\n' ' ')"
done
rm -f /tmp/review-five-$$.txt
