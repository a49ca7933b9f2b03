"""Zone health and one plan for the whole fleet of how much traffic each zone takes."""
