"""The fleet's actors: links between sidecars, the arbiter's client, and the module that covers work."""
