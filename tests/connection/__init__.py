"""Tests of jayflow.connection."""
