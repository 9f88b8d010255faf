"""State and daemons that live for one process."""
