"""HTTP: connections from clients, connection pools to endpoints, and the parser and stream they share."""
