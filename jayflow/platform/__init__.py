"""Translate between jayflow and the users' platform; nothing is decided."""
