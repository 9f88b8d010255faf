"""Check the adapter of the users' platform."""
