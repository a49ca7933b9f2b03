"""The sidecar process: sockets and actors around the decisions. It makes no decision itself."""
