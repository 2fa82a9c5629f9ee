"""Stand-ins for the external systems that lagoonring talks to."""
