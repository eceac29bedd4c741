#!/usr/bin/env bash
# Prepares the stand-ins of the scripts of review 3. They are written in Python, with its
# standard library alone, so that there is nothing to compile: this checks that the
# interpreter is there and reads them. The programs under test are those of the deploy
# file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit("Python 3.11 or later is needed" if sys.version_info < (3, 11) else 0)'
for file in review/harness-3/*.py review/9/*.py review/1[0-3]/*.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
for program in sycamorerail-front sycamorerail-side; do
    [ -x "target/release/$program" ] || { echo "target/release/$program: not built" >&2; exit 1; }
done
