"""Tests of jayflow.version."""
