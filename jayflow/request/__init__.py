"""Values and state that live for one request."""
