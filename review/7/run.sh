#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
ulimit -n 16384 2>/dev/null || ulimit -n "$(ulimit -H -n)"
exec target/review-2/case-7 review/7
