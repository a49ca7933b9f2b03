"""What is spoken: HTTP with clients, upstreams and discovery, datagrams with peers."""
