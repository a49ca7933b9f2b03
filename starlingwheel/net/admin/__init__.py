"""The admin address: operators' calls over HTTP/1.1."""
