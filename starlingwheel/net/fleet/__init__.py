"""The fleet's actors: links between sidecars, clients of the coordination store, and replication."""
