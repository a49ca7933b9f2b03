"""What the program did at one commit, kept as digests and fixtures: a change of names must not change it."""
