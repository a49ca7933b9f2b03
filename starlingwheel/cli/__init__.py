"""Command-line interface for operators; a sidecar process does not import it."""
