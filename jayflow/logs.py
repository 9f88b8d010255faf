"""Configure structured logs: short messages prefixed with their component.

Lines go to standard output, and writing never blocks the program: a line
that would block or exceeds the rate limit is dropped, and the next line
written has their number in its field "dropped". A request that fails,
is retried or ends late writes a few lines; any other request writes none
and is only counted in the metrics.
"""

from collections.abc import Callable
import enum
import logging
import os
import select
import sys
import time

import structlog

MAX_LINES_PER_S = 100.0
MAX_BURST_LINES = 500.0
# A pipe that poll() reports as writable accepts this much without blocking.
MAX_LINE_BYTES = select.PIPE_BUF
# Lengths to which the values of a line that is too long are cut, in turn.
SHORTENED_CHARS = (256, 64, 16)


class Format(enum.Enum):
    """Select the format of log lines."""

    CONSOLE = 'console'
    JSON = 'json'


class Level(enum.Enum):
    """Select the lowest level that is written."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


class Component(enum.Enum):
    """Name the component of the program that a log line comes from."""

    NODE = 'node'
    EXECUTOR = 'door'
    INGRESS = 'ingress'
    DISPATCH = 'dispatch'
    MEMBERS = 'members'
    CONFIG = 'config'
    PLATFORM = 'platform'
    KEYS = 'keys'
    BACKEND = 'backend'
    CLIENTS = 'clients'


class NonBlockingLogger:
    """Write log lines to a file descriptor without ever blocking.

    A token bucket limits the rate. structlog uses this class as its logger.
    """

    def __init__(
        self, fd: int, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._fd = fd
        self._clock = clock
        self._tokens = MAX_BURST_LINES
        self._refilled_at = clock()
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write a line, cut to MAX_LINE_BYTES, or count it as dropped."""
        data = line.encode('utf-8', 'replace')[: MAX_LINE_BYTES - 1] + b'\n'
        if not self._try_take_token():
            self.dropped += 1
            return
        try:
            os.write(self._fd, data)
        except OSError:
            self.dropped += 1
        else:
            self.dropped = 0

    # structlog calls the method that is named after the log level.
    debug = info = warning = error = critical = exception = msg = write

    def _try_take_token(self) -> bool:
        now = self._clock()
        refill = (now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        polled = self._poll.poll(0)
        if not polled or not polled[0][1] & select.POLLOUT:
            return False
        self._tokens -= 1
        return True


def configure(log_format: Format = Format.CONSOLE, level: Level = Level.INFO):
    """Configure structlog to write to standard output."""
    renderer = (
        structlog.processors.JSONRenderer()
        if log_format is Format.JSON
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    output_logger = NonBlockingLogger(sys.stdout.fileno())

    def add_dropped(logger, method, event):
        del logger, method
        if output_logger.dropped:
            event['dropped'] = output_logger.dropped
        return event

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso'),
            _add_component_prefix,
            add_dropped,
            structlog.processors.format_exc_info,
            bound_length(renderer),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.value.upper())
        ),
        logger_factory=lambda *args: output_logger,
    )


def bound_length(render: Callable) -> Callable:
    """Return a renderer that cuts long values to keep a line within bounds.

    A line that was cut as a whole would be no JSON any more.
    """

    def render_bounded(logger, method, event) -> str:
        line = render(logger, method, dict(event))
        for max_chars in SHORTENED_CHARS:
            if len(line.encode('utf-8', 'replace')) < MAX_LINE_BYTES:
                break
            shortened = {
                key: value
                if len(text := str(value)) <= max_chars
                else text[:max_chars]
                for key, value in event.items()
            }
            line = render(logger, method, shortened | {'shortened': True})
        return line

    return render_bounded


def get_logger(component: Component):
    """Return the logger of one component."""
    return structlog.get_logger(part=component.value)


def _add_component_prefix(logger, method, event):
    del logger, method
    component = event.pop('part', None)
    if component:
        event['event'] = f'{component}: {event["event"]}'
    return event
