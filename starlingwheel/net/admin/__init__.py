"""The admin interface: HTTP calls by which operators inspect and change one sidecar."""
