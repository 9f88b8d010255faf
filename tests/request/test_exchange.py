"""Check that a cut link reaches its exchanges, near and far."""

import unittest

from jayflow.connection import lease
from jayflow.connection import messages
from jayflow.connection import spending
from jayflow import metrics as counting
from jayflow.process import crossing
from jayflow.request import exchange as exchanges


class FakeLink:
    is_up = True

    @property
    def carrier(self):
        return self

    def send(self, message):
        del message


class ExchangesTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_cut_link_reaches_its_exchanges(self):
        link, other = FakeLink(), FakeLink()
        spender = spending.LinkSpender(
            lease.SeatHolder(None, 'n', messages.Incarnation(1), None)
        )
        for title, wire, is_hit in (
            ('near', link, True),
            ('far', crossing.FarWire(link, spender), True),
            ('other', other, False),
        ):
            with self.subTest(title):
                held = exchanges.Exchanges(
                    messages.Incarnation(1), counting.Metrics()
                )
                exchange = held.open(wire)
                self.assertEqual(is_hit, held.is_using(link))
                held.lose(link)
                message = await exchange.next(0.01)
                self.assertEqual(
                    is_hit, isinstance(message, exchanges.LinkLost)
                )
                exchange.close()
                self.assertFalse(held.is_using(link))
