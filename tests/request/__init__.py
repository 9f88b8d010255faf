"""Tests of jayflow.request."""
