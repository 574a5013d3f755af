#!/bin/sh
# Builds the stand-ins of the scripts. They have no dependencies.
cd "$(dirname "$0")/standin" && cargo build --release --offline --locked
