"""Hold values and state with the lifetime of one request."""
