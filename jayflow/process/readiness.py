"""Tell whether the node wants callers, and what it counts."""

from collections.abc import Callable


class MetricsApp:
    """Answer every GET with the node's counters and histograms."""

    def __init__(self, text: Callable[[], str]) -> None:
        self._text = text

    async def __call__(self, scope, receive, send) -> None:
        """Serve one call."""
        del receive
        if scope['type'] != 'http':
            return
        body = self._text().encode()
        rows = [
            (b'content-type', b'text/plain; version=0.0.4'),
            (b'content-length', str(len(body)).encode()),
        ]
        start = {'type': 'http.response.start', 'status': 200, 'headers': rows}
        await send(start)
        await send({'type': 'http.response.body', 'body': body})


class App:
    """Answer every GET with 200 while the node is ready, else 503."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(self, scope, receive, send) -> None:
        """Serve one call."""
        del receive
        if scope['type'] != 'http':
            return
        await send(
            {
                'type': 'http.response.start',
                'status': 200 if self._is_ready() else 503,
                'headers': [(b'content-length', b'0')],
            }
        )
        await send({'type': 'http.response.body', 'body': b''})
