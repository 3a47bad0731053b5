#!/bin/sh
# Exit 0: the rule held, 1: it was broken, 2: the case couldn't run. TROUBLE=0: no disruption.
# Needs the build of the deploy file and ../build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
CASE_DIR=review/7 java -Xmx512m -cp target/review-2 Case7
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
