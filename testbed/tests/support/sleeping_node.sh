#!/bin/sh
# Stand-in for a node that lives until it is ended.
exec sleep 60
