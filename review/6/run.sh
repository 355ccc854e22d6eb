#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
command -v python3 > /dev/null || exit 2
RUN_SH=$$ python3 "$(dirname "$0")/case.py" &
case=$!
trap 'kill -TERM "$case" 2> /dev/null' INT HUP TERM
wait "$case"
code=$?
while kill -0 "$case" 2> /dev/null; do
    wait "$case"
    code=$?
done
case $code in
    0) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
