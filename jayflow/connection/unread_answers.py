"""Find out whether a client reads what is written to it."""

import asyncio
import socket
import struct

# Position of tcpi_bytes_acked in struct tcp_info of Linux.
_BYTES_ACKED = struct.Struct('@120xQ')


class UnreadAnswers:
    """Compare what a client has acknowledged from check to check.

    The write buffer alone does not show it: the kernel takes bytes from it
    in steps of hundreds of KB.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._progress: int | None = None

    def is_stalled(self) -> bool:
        """Return whether bytes wait and none was read since the last call."""
        buffered_bytes = self._transport.get_write_buffer_size()
        if not buffered_bytes:
            self._progress = None
            return False
        last = self._progress
        self._progress = self._acknowledged_bytes(buffered_bytes)
        return last == self._progress

    def _acknowledged_bytes(self, buffered_bytes: int) -> int:
        sock = self._transport.get_extra_info('socket')
        try:
            info = sock.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, _BYTES_ACKED.size
            )
            return _BYTES_ACKED.unpack(info)[0]
        except (AttributeError, OSError, struct.error):
            # Only Linux has the figure.
            return -buffered_bytes
