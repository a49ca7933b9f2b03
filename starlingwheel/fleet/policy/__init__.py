"""One policy for a whole fleet: its document, proposals, votes and decisions."""
