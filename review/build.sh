#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They need the standard library alone.
set -eu
cd "$(dirname "$0")/standins"
exec cargo build --release --offline --locked
