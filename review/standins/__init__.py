"""Stand-ins for the review: an upstream, discovery, and the parts that the test scripts share."""
