"""Serve the readiness check and the metrics of a node over HTTP."""

from collections.abc import Callable


class MetricsApp:
    """Answer every request with the metrics in Prometheus text format."""

    def __init__(self, text: Callable[[], str]) -> None:
        self._text = text

    async def __call__(self, scope, receive, send) -> None:
        """Serve one HTTP request."""
        del receive
        if scope['type'] != 'http':
            return
        body = self._text().encode()
        headers = [
            (b'content-type', b'text/plain; version=0.0.4'),
            (b'content-length', str(len(body)).encode()),
        ]
        start = {
            'type': 'http.response.start',
            'status': 200,
            'headers': headers,
        }
        await send(start)
        await send({'type': 'http.response.body', 'body': body})


class ReadinessApp:
    """Answer every request with 200 while the node is ready, else 503."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(self, scope, receive, send) -> None:
        """Serve one HTTP request."""
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
