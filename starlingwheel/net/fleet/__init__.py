"""The fleet's actors: links between sidecars, the client of the coordination store, replication."""
