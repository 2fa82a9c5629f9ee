"""Stand-ins and the start of instances, shared by the scripts of the review."""
