#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 runs the same without the disruption. Needs the build of the deploy file and ../build.sh.
cd "$(dirname "$0")" || exit 2
[ -d ../target/classes ] || exit 2
timeout -k 5 115 java -Xmx1g -Droot=../.. -cp ../target/classes PoisonUnsafe .
case $? in
  10) exit 1 ;;
  0) exit 0 ;;
  *) exit 2 ;;
esac
