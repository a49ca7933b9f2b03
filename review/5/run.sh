#!/bin/sh
# Plays the case from the root of the repository; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." && PYTHONPATH=review/4 exec .venv/bin/python -B review/5/case.py
