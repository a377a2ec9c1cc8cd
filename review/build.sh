#!/bin/bash
# Builds what the scripts start: the stand-ins need Python's standard library only, so
# they are compiled to find mistakes. The system itself is built by the deploy file.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
python3 -m py_compile kit/lab.py [0-9]*/*.py
