"""Test that open exchanges are notified of a lost peer connection.

The connection may lead to a node of the same region or of another one.
"""

import unittest

from jayflow.connection import lease
from jayflow.connection import link_budget
from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.process import link_budgets
from jayflow.request import exchange as exchanges


class FakeConnection:
    is_connected = True

    @property
    def connection(self):
        return self

    def send(self, message):
        del message


class ExchangeTableTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_lost_connection_reaches_its_exchanges(self):
        connection, other_connection = FakeConnection(), FakeConnection()
        budget = link_budget.LinkBudget(
            lease.SeatLease(None, 'n', messages.Incarnation(1), None)
        )
        for title, channel, is_notified in (
            ('same region', connection, True),
            (
                'other region',
                link_budgets.BudgetedChannel(connection, budget),
                True,
            ),
            ('other connection', other_connection, False),
        ):
            with self.subTest(title):
                exchange_table = exchanges.ExchangeTable(
                    messages.Incarnation(1), metrics_module.Metrics()
                )
                exchange = exchange_table.open(channel)
                self.assertEqual(
                    is_notified, exchange_table.uses_connection(connection)
                )
                exchange_table.notify_connection_lost(connection)
                message = await exchange.next_message(0.01)
                self.assertEqual(
                    is_notified,
                    isinstance(message, exchanges.ConnectionLostEvent),
                )
                exchange.close()
                self.assertFalse(exchange_table.uses_connection(connection))
