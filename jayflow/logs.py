"""Set up structured logs: short sentences with a prefix for each part.

Lines go to standard output and never hold the program up: what would
wait, or is over the rate, is dropped, and the next line tells how many
were. One request in trouble writes a few lines; a request that is served
as planned writes none and shows in the counters.
"""

from collections.abc import Callable
import enum
import logging
import os
import select
import sys
import time

import structlog

LINES_PER_S = 100.0
BURST_LINES = 500.0
# A pipe that polls as writable takes this much without waiting.
MAX_LINE_BYTES = select.PIPE_BUF


class Format(enum.Enum):
    """Choose how log lines are written."""

    CONSOLE = 'console'
    JSON = 'json'


class Level(enum.Enum):
    """Choose the lowest level that is written."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


class Part(enum.Enum):
    """Name the part of the program that a line comes from."""

    NODE = 'node'
    DOOR = 'door'
    INGRESS = 'ingress'
    DISPATCH = 'dispatch'
    MEMBERS = 'members'
    CONFIG = 'config'
    PLATFORM = 'platform'
    KEYS = 'keys'
    BACKEND = 'backend'


class Sink:
    """Write lines to a descriptor, as many as it takes without waiting."""

    def __init__(
        self, fd: int, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._fd = fd
        self._clock = clock
        self._left = BURST_LINES
        self._at = clock()
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write a line, or count it as dropped."""
        data = line.encode('utf-8', 'replace')[: MAX_LINE_BYTES - 1] + b'\n'
        if not self._may_write():
            self.dropped += 1
            return
        try:
            os.write(self._fd, data)
        except OSError:
            self.dropped += 1
        else:
            self.dropped = 0

    # The names under which structlog calls a logger.
    debug = info = warning = error = critical = exception = msg = write

    def _may_write(self) -> bool:
        now = self._clock()
        earned = (now - self._at) * LINES_PER_S
        self._left = min(BURST_LINES, self._left + earned)
        self._at = now
        if self._left < 1:
            return False
        ready = self._poll.poll(0)
        if not ready or not ready[0][1] & select.POLLOUT:
            return False
        self._left -= 1
        return True


def configure(form: Format = Format.CONSOLE, level: Level = Level.INFO):
    """Send logs to standard output in one format."""
    renderer = (
        structlog.processors.JSONRenderer()
        if form is Format.JSON
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    sink = Sink(sys.stdout.fileno())

    def add_dropped(logger, method, event):
        del logger, method
        if sink.dropped:
            event['dropped'] = sink.dropped
        return event

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso'),
            _prefix,
            add_dropped,
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.value.upper())
        ),
        logger_factory=lambda *args: sink,
    )


def get(part: Part):
    """Return the logger of one part."""
    return structlog.get_logger(part=part.value)


def _prefix(logger, method, event):
    del logger, method
    part = event.pop('part', None)
    if part:
        event['event'] = f'{part}: {event["event"]}'
    return event
