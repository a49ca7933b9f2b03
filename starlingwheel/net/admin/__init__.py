"""The admin address: HTTP calls by which operators inspect and change one sidecar."""
