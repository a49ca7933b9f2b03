"""Connects the decisions with the simulator: its lines become events, and their commands become its lines."""
