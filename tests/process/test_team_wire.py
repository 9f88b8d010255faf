"""Test the queries for tokens of a team over real sockets on loopback.

A message that the receiver can't decode or route would make every node skip
the owner, so that teams get the takeover rate only.
"""

import asyncio
import unittest
from unittest import mock

from bench import local_cluster
import zmq

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.connection import peer_connections
from jayflow.connection import sockets
from jayflow import metrics as metrics_module
from jayflow.process import member_directory
from jayflow.process import message_router
from jayflow.process import team_limits
from jayflow.request import exchange as exchanges
from jayflow.version import objects

TEAM = objects.Team('t', rate=50.0, burst=50.0)
NAMES = ('n0', 'n1', 'n2')


class _Node:
    """Hold the parts of a node that send and answer queries."""

    def __init__(self, context, member):
        metrics = metrics_module.Metrics()
        self.metrics = metrics
        self.directory = member_directory.MemberDirectory(member.node, 'd')
        table = exchanges.ExchangeTable(member.incarnation, metrics)
        self.connections = peer_connections.PeerConnections(
            context,
            member.incarnation,
            lambda data: table.deliver(messages.decode_reply(data)),
            table.notify_connection_lost,
        )
        self.limits = team_limits.TeamLimits(
            member.node,
            member.incarnation,
            self.directory,
            table,
            lambda view, lane: self.connections.connection_to(
                view.member, lane
            ),
            {'t': TEAM}.get,
            lambda: False,
            metrics,
        )
        handlers = mock.Mock(team_limits=self.limits)
        router = message_router.MessageRouter(
            member.node, self.directory, metrics, handlers, None, None
        )
        self.listener = sockets.Listener(
            context, member.address, router.handle_request
        )
        router.send = self.listener.send

    def close(self):
        self.connections.close()
        self.listener.close()


class TeamWireTest(unittest.IsolatedAsyncioTestCase):
    async def test_nodes_share_the_tokens_of_a_team(self):
        context = zmq.Context()
        self.addCleanup(context.destroy, linger=0)
        ports = local_cluster.reserve_ports(len(NAMES))
        all_members = [
            members.Member(
                messages.NodeId(name), index, 'd', local_cluster.HOST, port
            )
            for index, (name, port) in enumerate(
                zip(NAMES, ports, strict=True), 1
            )
        ]
        nodes = [_Node(context, member) for member in all_members]
        for node in nodes:
            self.addCleanup(node.close)
            for member in all_members:
                node.directory.put(member)
        # The connections are made, and the bucket begins to fill.
        for node in nodes:
            await node.limits.acquire('t')
        await asyncio.sleep(1.5)
        results = []
        for _ in range(10):
            for node in nodes:
                results.append(await node.limits.acquire('t'))
        self.assertEqual([None] * len(results), results)
        self.assertEqual(
            1, sum(node.metrics.counters['team_answer'] > 2 for node in nodes)
        )
        self.assertFalse(
            any(
                node.metrics.counters['refused.garbage_frame']
                for node in nodes
            )
        )
