#!/bin/sh
# Stand-in for a node that stops on SIGTERM with exit code 7.
trap "exit 7" TERM
echo started
while :; do sleep 0.01; done
