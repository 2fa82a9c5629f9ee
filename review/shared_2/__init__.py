"""What the cases of the second review share: stand-ins and a small deployment."""
