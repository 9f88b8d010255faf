"""Define how the HTTP server and its applications tell of connections."""

from collections.abc import Callable
import enum

DISCONNECT_EXTENSION = 'jayflow.disconnect'


class BadHead(enum.Enum):
    """List what can be wrong with the head of a request."""

    MALFORMED = 400
    TIMED_OUT = 408
    TOO_LARGE = 431


# Returns the status, the headers and the body of the error response.
BadRequestHandler = Callable[
    [BadHead], tuple[int, list[tuple[bytes, bytes]], bytes]
]


class DisconnectNotifier:
    """Invoke a callback when the caller's connection is lost.

    It also tells of a body that is malformed after its beginning. This is an
    ASGI extension. It needs no extra task per request that waits for the
    disconnection.
    """

    def __init__(self) -> None:
        self._on_lost: Callable[[], None] | None = None
        self.is_disconnected = False
        # Whether the rest of the request's body can't be read.
        self.is_body_malformed = False

    def set_callback(self, on_lost: Callable[[], None] | None) -> None:
        """Set the callback; call it at once if the connection is lost."""
        self._on_lost = on_lost
        if self.is_disconnected and on_lost is not None:
            on_lost()

    def notify(self) -> None:
        """Mark the connection as lost and invoke the callback."""
        self.is_disconnected = True
        if self._on_lost is not None:
            self._on_lost()


def reject_without_body(
    bad_head: BadHead,
) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
    """Return an error response without a body."""
    return bad_head.value, [(b'content-length', b'0')], b''
