"""The request path: from the caller to an endpoint and back."""
