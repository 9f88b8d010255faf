"""Test that a response cut off at any byte is not taken for a whole one."""

import asyncio

from jayflow.connection import backend_client
from jayflow.platform import headers
from tests import virtual_time

PORT = 9
BODY = b'whole answer'
HEAD = (
    b'HTTP/1.1 200 OK\r\nJayflow-Request-Id: %d\r\n'
    b'Jayflow-Server-Signature: s\r\n'
)
WITH_LENGTH = HEAD + b'Content-Length: 12\r\n\r\n' + BODY
IN_CHUNKS = (
    HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
    b'5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n'
)
WITHOUT_LENGTH = HEAD + b'\r\n' + BODY
LENGTH_FIRST = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 12\r\nJayflow-Request-Id: %d\r\n'
    b'Jayflow-Server-Signature: s\r\n\r\n' + BODY
)
INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n' + WITH_LENGTH
# The end of a body without a length can't be told from a cut in it.
CASES = [
    ('length', WITH_LENGTH, len(WITH_LENGTH % 1)),
    ('length first', LENGTH_FIRST, len(LENGTH_FIRST % 1)),
    ('chunks', IN_CHUNKS, len(IN_CHUNKS % 1)),
    ('no length', WITHOUT_LENGTH, len(WITHOUT_LENGTH % 1) - len(BODY)),
    ('interim response first', INTERIM, len(INTERIM % 1)),
]


class CutResponseTest(virtual_time.VirtualTimeTestCase):
    def request(self, template, cut, has_earlier_response):
        """Return the body of a response cut after some bytes, or None."""

        async def serve(reader, writer):
            if has_earlier_response:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(WITH_LENGTH % 0)
            await reader.readuntil(b'\r\n\r\n')
            writer.write((template % 1)[:cut])
            writer.close()

        async def exchange(conn, number):
            conn.write_head(
                'GET', b'/', [(b'jayflow-request-id', b'%d' % number)], b''
            )
            await conn.read_head()
            return b''.join([part async for part in conn.iter_parts()])

        async def main(loop):
            loop.serve_port(PORT, serve)
            conn = await backend_client.Connection.open(
                'server', PORT, headers.DIALECT
            )
            if has_earlier_response:
                self.assertEqual(BODY, await exchange(conn, 0))
            try:
                async with asyncio.timeout(1):
                    return await exchange(conn, 1)
            except backend_client.BackendError:
                return None

        return self.run_virtual(main)

    def test_a_response_cut_off_was_taken_for_a_whole_one(self):
        for title, template, first_whole in CASES:
            for has_earlier_response in (False, True):
                with self.subTest(title, earlier=has_earlier_response):
                    taken = [
                        cut
                        for cut in range(first_whole)
                        if self.request(template, cut, has_earlier_response)
                        is not None
                    ]
                    self.assertEqual([], taken)
                    whole = self.request(
                        template, len(template % 1), has_earlier_response
                    )
                    self.assertEqual(BODY, whole)
