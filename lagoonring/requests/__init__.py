"""A request's way from the caller to an endpoint and back."""
