#!/bin/sh
# The stand-ins of the cases are Python files that use the standard library
# alone. Building them means checking that this interpreter can read them.
set -eu
cd "$(dirname "$0")"
python3 -B - lib/*.py [0-9]/*.py <<'END'
import ast
import sys

assert sys.version_info >= (3, 11)
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
END
