"""Zone health, and the fleet's plan of how much traffic each zone receives."""
