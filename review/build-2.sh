#!/bin/sh
# Builds the stand-ins of the cases of this review. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
    --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
