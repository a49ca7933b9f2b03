"""Requests in flight that survive the loss of their sidecar."""
