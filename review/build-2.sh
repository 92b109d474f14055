#!/bin/sh
# Builds the stand-ins of cases 4 to 6. Runs after the build of the deploy file; needs no network.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 -cp "target/mountlug.jar:target/lib/*" review/standins-2/*.java
