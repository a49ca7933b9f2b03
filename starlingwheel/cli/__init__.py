"""What operators type. Nothing of it is loaded by a sidecar."""
