"""Emulate the platform and backend servers for the demo and tests."""
