"""Simulator adapter: decodes input lines as decision events and encodes decision commands as output."""
