#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, without a network: they need the standard library only.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
