#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/case_15 ] && [ -x target/release/jackdawtallyd ] || exit 2
exec target/review-3/case_15 review/15
