"""The endpoint list: the client that watches discovery, and the messages of a watch."""
