"""Define the exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """Name the result of a command as its exit code.

    The command diff never fails with 1, so that scripts can tell a
    difference from a failure.
    """

    DONE = 0
    FAILED = 1
    DIFFERENT = 1
    BAD_INPUT = 2
    VERSION_CONFLICT = 3
    NOT_ACTIVE_EVERYWHERE = 4
    WARNINGS = 5
