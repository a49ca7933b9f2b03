"""Requests in flight that survive the loss of their sidecar; `replicator` is where to begin reading."""
