"""Stand-ins of the systems outside lagoonring."""
