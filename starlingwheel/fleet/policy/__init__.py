"""The policy that all members of a fleet share: its document, proposals, votes and decisions."""
