"""At-most-once execution of keyed requests."""
