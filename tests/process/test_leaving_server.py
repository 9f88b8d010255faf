"""Test that a server that says in a response that it leaves gets no more."""

import asyncio
import unittest

from jayflow.connection import announcement
from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.process import member_directory
from jayflow.process import server_registration
from jayflow.request import executor as executors
from tests.process import test_member_directory
from tests.request import test_executor
from tests import virtual_time

PORT = 9
SERVICE = 's'
LEAVING = b'jayflow-leaving: 1\r\n'
BORN = 10
# Title, headers of the first response, announcements after it as (start
# time, sequence, draining), and the reason for which the next request is
# refused, None if it runs.
CASES = [
    ('stays', b'', [], None),
    ('announced nothing yet', LEAVING, [], 'draining'),
    ('announced itself late', LEAVING, [(BORN, 2, False)], 'draining'),
    ('announced the drain as well', LEAVING, [(BORN, 2, True)], 'draining'),
    ('started again', LEAVING, [(BORN + 1, 1, False)], None),
]


class StoredMemberWriter:
    """Pretend that the platform holds each departure at once."""

    async def wait_written(self, timeout_s: float) -> bool:
        del timeout_s
        return True


def _announcement(born=BORN, sequence=1, draining=False):
    return announcement.Announcement(
        'i1',
        ('lookups',),
        '127.0.0.1',
        PORT,
        4,
        draining=draining,
        born=born,
        sequence=sequence,
    )


class LeavingServerTest(virtual_time.VirtualTimeTestCase):
    def run_case(self, headers, announcements):
        """Return the last reply and the heads after two requests."""

        async def serve(reader, writer):
            try:
                while await reader.readuntil(b'\r\n\r\n'):
                    writer.write(
                        b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n%b\r\nok'
                        % headers
                    )
            except asyncio.IncompleteReadError:
                writer.close()

        async def main(loop):
            loop.serve_port(PORT, serve)
            executor = executors.Executor(
                test_executor.INCARNATION, metrics_module.Metrics(), loop.time
            )
            registration = server_registration.ServerRegistration(
                executor, StoredMemberWriter()
            )
            await registration.announce(_announcement())
            replies = []
            executor.handle(test_executor.start(1), replies.append)
            await asyncio.sleep(0.1)
            for values in announcements:
                await registration.announce(_announcement(*values))
            executor.handle(test_executor.start(2), replies.append)
            await asyncio.sleep(0.1)
            return replies

        return self.run_virtual(main)

    def test_a_leaving_server_got_requests_until_it_announced_its_drain(self):
        for title, headers, announcements, reason in CASES:
            with self.subTest(title):
                first, last = self.run_case(headers, announcements)
                self.assertEqual(
                    messages.ServerIncarnation('i1', BORN)
                    if headers
                    else None,
                    first.leaving,
                )
                self.assertEqual(reason, getattr(last, 'reason', None))


class SenderMemoryTest(unittest.TestCase):
    def test_a_sender_used_a_leaving_server_after_its_node_restarted(self):
        cases = [
            ('same server', {'incarnation': 2}, []),
            ('listed again', {'incarnation': 3}, []),
            ('started again', {'incarnation': 3, 'born': 11}, ['n1']),
            ('other server', {'instance': 'i2', 'born': 11}, ['n1']),
        ]
        for title, changes, expected in cases:
            with self.subTest(title):
                directory = member_directory.MemberDirectory('me', 'a')
                values = {'instance': 'i1', 'born': BORN}
                directory.put(
                    test_member_directory.member('n1', 'a', **values)
                )
                directory.mark_leaving(messages.ServerIncarnation('i1', BORN))
                self.assertEqual([], directory.candidates(SERVICE))
                directory.remove('n1')
                directory.put(
                    test_member_directory.member(
                        'n1', 'a', **(values | changes)
                    )
                )
                candidates = directory.candidates(SERVICE)
                self.assertEqual(
                    expected, [view.member.node for view in candidates]
                )

    def test_a_restarted_server_without_a_start_time_was_never_used_again(
        self,
    ):
        directory = member_directory.MemberDirectory('me', 'a')
        directory.put(
            test_member_directory.member('n1', 'a', instance='i1', born=0)
        )
        directory.mark_leaving(messages.ServerIncarnation('i1', 0))
        views = directory.candidates(SERVICE)
        self.assertEqual(['n1'], [view.member.node for view in views])
