"""Bound the parts of responses that are on their way to a node.

Each response has a window of parts that its server may send ahead. All wait
in the memory of the node that asked for them while its callers do not read.
"""

import math

from jayflow.connection import messages


# The head of a response takes one part of the first window.
MAX_PARTS = messages.FLOW_WINDOW_PARTS - 1


class ResponseWindows:
    """Share a number of bytes among the windows of the open responses."""

    def __init__(self, shared_bytes: float = math.inf) -> None:
        self._shared_bytes = shared_bytes
        # How many responses are being passed on after their first part.
        self.streams = 0

    def parts_for(self, responses: int) -> int:
        """Return the window of each of a number of responses, at least 1."""
        if math.isinf(self._shared_bytes):
            return MAX_PARTS
        window_bytes = self._shared_bytes / max(1, responses)
        parts = int(window_bytes / messages.MAX_PART_BYTES)
        return max(1, min(MAX_PARTS, parts))


class ResponseWindow:
    """Hold the window of one response."""

    def __init__(self, windows: ResponseWindows, open_responses: int) -> None:
        self._windows = windows
        self._is_streaming = False
        self.parts = windows.parts_for(open_responses)

    @property
    def first_credit(self) -> int:
        """Return how many parts may be sent at first, with the head."""
        return self.parts + 1

    def next_credit(self) -> int:
        """Return how many parts to ask for after a part was passed on."""
        if not self._is_streaming:
            self._is_streaming = True
            self._windows.streams += 1
        wanted = self._windows.parts_for(self._windows.streams)
        credit = max(0, 1 + wanted - self.parts)
        self.parts += credit - 1
        return credit

    def close(self) -> None:
        """Leave the other responses the share of this one."""
        if self._is_streaming:
            self._is_streaming = False
            self._windows.streams -= 1
