#!/bin/sh
# Exit 0: the rule held, 1: it was broken, 2: the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
CASE_DIR=review/10 exec java -cp target/review-2 Case10
