#!/bin/sh
# Check that the stand-ins of the cases can be run: they are plain Python 3.11
# with its standard library, so that nothing is compiled or installed.
set -eu
cd "$(dirname "$0")"
for file in stand-ins-2/deployment.py 4/case.py 6/case.py 7/case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
