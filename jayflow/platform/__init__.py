"""Adapt jayflow to the users' platform: headers, announcements, objects.

The adapter only translates. All decisions are made in the other packages.
"""
