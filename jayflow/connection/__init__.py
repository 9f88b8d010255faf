"""Connections to peers, backend servers and the platform."""
