"""Tests; log lines below an error are left out."""

from jayflow import logs

logs.configure(level=logs.Level.ERROR)
