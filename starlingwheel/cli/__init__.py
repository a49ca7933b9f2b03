"""The command line for operators. No sidecar loads it."""
