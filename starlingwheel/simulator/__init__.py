"""Puts the simulator's wire before the decisions."""
