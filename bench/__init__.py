"""Load tests and experiments, run as python -m bench NAME."""
