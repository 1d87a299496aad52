#!/usr/bin/env bash
# Builds what the cases 6 to 10 start beside the project's own programs. The
# stand-ins need nothing but the standard library of Python 3.11 or later; this
# checks that they compile, and keeps no file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - support-2/lab.py ./{6,7,8,9,10}/case.py <<'PROGRAM'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 or later is needed')
for path in map(pathlib.Path, sys.argv[1:]):
    compile(path.read_text(), str(path), 'exec')
print(f'{len(sys.argv) - 1} files compile')
PROGRAM
