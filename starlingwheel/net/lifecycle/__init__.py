"""Start, configuration, signals, shutdown, log and statistics of a sidecar process."""
