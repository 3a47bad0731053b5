#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs the JDK only, and no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/classes
javac -nowarn -d target/classes $(find . -name '*.java' -not -path './target/*')
