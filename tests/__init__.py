"""Tests of jayflow; log lines below the level error are suppressed."""

from jayflow import logs

logs.configure(level=logs.Level.ERROR)
