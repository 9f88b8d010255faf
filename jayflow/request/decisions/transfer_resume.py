"""Decide how a transfer that was cut off is resumed on another server."""

import dataclasses
from typing import Self

from jayflow.connection import messages
from jayflow.request import headers as http_headers


@dataclasses.dataclass(frozen=True)
class ResumableTransfer:
    """Identify the content of a response by its validator and length."""

    etag: bytes
    length: int

    @classmethod
    def from_headers(
        cls, method: str, status: int, headers: messages.Headers
    ) -> Self | None:
        """Return the transfer, or None when it can't be resumed."""
        etag = http_headers.value_of(headers, b'etag')
        length = http_headers.value_of(headers, b'content-length')
        if method != 'GET' or status != 200 or not etag or not length:
            return None
        if etag.startswith(b'W/') or not length.isdigit():
            return None
        return cls(etag, int(length))

    def range_request_headers(
        self, headers: messages.Headers, offset: int
    ) -> messages.Headers:
        """Return request headers that ask for the bytes from an offset."""
        return [
            *headers,
            (b'range', b'bytes=%d-' % offset),
            (b'if-range', self.etag),
        ]

    def is_continued_by(
        self, status: int, headers: messages.Headers, offset: int
    ) -> bool:
        """Return whether a response holds exactly the missing bytes."""
        content_range = b'bytes %d-%d/%d' % (
            offset,
            self.length - 1,
            self.length,
        )
        return (
            status == 206
            and http_headers.value_of(headers, b'content-range')
            == content_range
            and http_headers.value_of(headers, b'etag') == self.etag
        )
