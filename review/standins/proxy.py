"""Forward TCP connections, and let open ones go silent on request."""

import asyncio

from standins import wire

CHUNK_BYTES = 64 * 1024


class Proxy:
    """Forward connections to one address."""

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._open: set[_Link] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, *address)

    def silence_open(self) -> int:
        """Forward nothing more on the open connections; count them.

        They stay open: neither side sees an end or a reset.
        """
        for link in self._open:
            link.is_silent = True
        return len(self._open)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for link in list(self._open):
            link.close()

    async def _serve(self, reader, writer) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            wire.close(writer)
            return
        link = _Link(writer, far_writer)
        self._open.add(link)
        await asyncio.gather(
            link.forward(reader, far_writer), link.forward(far_reader, writer)
        )
        self._open.discard(link)
        link.close()


class _Link:
    """Forward one connection in both directions."""

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self._writers = writers
        self.is_silent = False

    async def forward(self, reader, writer) -> None:
        """Forward one direction until its end; swallow it if silent."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                if not self.is_silent:
                    writer.write(data)
                    await writer.drain()
            if not self.is_silent and writer.can_write_eof():
                writer.write_eof()
        except OSError:
            self.close()

    def close(self) -> None:
        """Close both ends."""
        for writer in self._writers:
            wire.close(writer)
