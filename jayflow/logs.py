"""Set up structured logs: short sentences with a prefix for each part."""

import enum
import logging
import sys

import structlog


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
    MEMBERS = 'members'
    CONFIG = 'config'
    PLATFORM = 'platform'
    KEYS = 'keys'
    BACKEND = 'backend'


def configure(form: Format = Format.CONSOLE, level: Level = Level.INFO):
    """Send logs to standard error in one format."""
    renderer = (
        structlog.processors.JSONRenderer()
        if form is Format.JSON
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso'),
            _prefix,
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.value.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
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
