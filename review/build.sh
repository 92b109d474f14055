#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp "target/mountlug.jar:target/lib/*" review/standins/*.java
