"""Gossip between sidecars over UDP."""
