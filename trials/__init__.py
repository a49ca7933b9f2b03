"""Trials: several real processes of the program, faults between them, counts at both ends.

`python -m trials NAME --seed N` plays one and tells which promises were kept.
"""
