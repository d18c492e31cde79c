#!/bin/sh
# Builds the stand-ins of the second review: plain Python on the standard library, compiled here so that a
# mistake shows before a case runs. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m py_compile review/stand_ins_2.py review/[456]/case.py
