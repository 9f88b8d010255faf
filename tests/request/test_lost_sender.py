"""Test that a transfer to a sender that is gone releases its slot.

A killed sender neither grants credit nor cancels its attempts.
"""

import asyncio
import contextlib

from jayflow.connection import announcement
from jayflow.connection import messages
from jayflow.connection import sockets
from jayflow import metrics as metrics_module
from jayflow.request import executor as executors
from tests.request import test_executor
from tests import virtual_time

PORT = 9
# More than the parts that a sender is granted from the start.
BODY = b'x' * (messages.MAX_PART_BYTES * (messages.FLOW_WINDOW_PARTS + 2))
# Title, when the sender is killed, and when its slot must be free, in s.
CASES = [('before the head', 0.05, 0.2), ('in the transfer', 0.5, 2.0)]
HEAD_AT_S = 0.1


class LostSenderTest(virtual_time.VirtualTimeTestCase):
    def in_flight_after(self, killed_at, checked_at):
        """Return how many requests hold a slot, and all replies."""

        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            await asyncio.sleep(HEAD_AT_S)
            writer.write(
                b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(BODY)
            )
            writer.write(BODY)
            with contextlib.suppress(ConnectionError):
                await reader.read()
            writer.close()

        async def main(loop):
            replies = []

            def reply(message):
                is_response = isinstance(
                    message, messages.ResponseHead | messages.ResponsePart
                )
                if loop.time() >= killed_at and is_response:
                    raise sockets.NotSentError
                replies.append(message)

            loop.serve_port(PORT, serve)
            executor = executors.Executor(
                test_executor.INCARNATION,
                metrics_module.Metrics(),
                loop.time,
                announcement_ttl_s=60.0,
            )
            executor.apply_announcement(
                announcement.Announcement(
                    'i1', ('lookups',), '127.0.0.1', PORT, 4
                )
            )
            running = asyncio.create_task(executor.run())
            executor.handle(test_executor.start(1), reply)
            await asyncio.sleep(checked_at)
            in_flight = executor.in_flight
            running.cancel()
            await asyncio.wait([running])
            return in_flight, replies

        return self.run_virtual(main)

    def test_a_transfer_to_a_killed_sender_held_its_slot(self):
        for title, killed_at, checked_at in CASES:
            with self.subTest(title):
                in_flight, _ = self.in_flight_after(killed_at, checked_at)
                self.assertEqual(0, in_flight)

    def test_a_slow_transfer_to_a_living_sender_goes_on(self):
        in_flight, replies = self.in_flight_after(100.0, 10.0)
        self.assertEqual(1, in_flight)
        probes = [
            message
            for message in replies
            if isinstance(message, messages.ResponsePart) and not message.seq
        ]
        self.assertIn(len(probes), range(5, 11))
