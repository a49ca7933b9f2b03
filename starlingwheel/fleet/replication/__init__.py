"""Replication of requests in flight, which survive the loss of their sidecar; begin with `replicator`."""
