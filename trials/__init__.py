"""Trials: several real processes of the program under faults, checked by counts at clients and endpoints.

`python -m trials NAME --seed N` runs one and prints which guarantees were violated, if any.
"""
