"""Adapt jayflow to the platform that its users run it on.

That platform has its own HTTP headers, its backend servers announce
themselves by heartbeats, and it keeps objects in a metadata store. The
adapter only translates. All decisions are made in the other packages.
"""
