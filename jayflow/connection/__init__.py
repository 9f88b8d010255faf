"""Links to peers, backend servers and the platform."""
