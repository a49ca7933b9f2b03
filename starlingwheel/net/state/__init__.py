"""State that actors share: buffers, connections, requests in flight, operators' overrides."""
