"""Command-line interfaces of the programs."""
