#!/bin/sh
# Stand-in for a node that runs until it is killed.
exec sleep 60
