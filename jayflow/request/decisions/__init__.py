"""Decisions about requests: pure functions of state, time and randomness."""
