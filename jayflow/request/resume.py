"""Decide how a cut transfer goes on from another server."""

import dataclasses
from typing import Self

from jayflow.connection import messages
from jayflow.request import headers as http


@dataclasses.dataclass(frozen=True)
class Transfer:
    """Hold what names the bytes of an answer: its validator and length."""

    etag: bytes
    length: int

    @classmethod
    def from_headers(
        cls, method: str, status: int, headers: messages.Headers
    ) -> Self | None:
        """Return the transfer, or None when it can't be resumed."""
        etag = http.value_of(headers, b'etag')
        length = http.value_of(headers, b'content-length')
        if method != 'GET' or status != 200 or not etag or not length:
            return None
        if etag.startswith(b'W/') or not length.isdigit():
            return None
        return cls(etag, int(length))

    def headers_from(
        self, headers: messages.Headers, first: int
    ) -> messages.Headers:
        """Return request headers that ask for the rest."""
        return [
            *headers,
            (b'range', b'bytes=%d-' % first),
            (b'if-range', self.etag),
        ]

    def is_continued(
        self, status: int, headers: messages.Headers, first: int
    ) -> bool:
        """Return whether an answer holds exactly the missing bytes."""
        span = b'bytes %d-%d/%d' % (first, self.length - 1, self.length)
        return (
            status == 206
            and http.value_of(headers, b'content-range') == span
            and http.value_of(headers, b'etag') == self.etag
        )
