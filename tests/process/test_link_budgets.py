"""Check which traffic between regions has a budget.

Where links have no budget, requests to another region were refused as if
their budget were used up.
"""

import random
import unittest

from jayflow.connection import messages
from jayflow.process import link_budgets
from jayflow.version import objects

CONFIG = {
    'region': {name: objects.Region(name) for name in ('r1', 'r2')},
    'data_centre': {
        'a': objects.DataCentre('a', 'r1'),
        'b': objects.DataCentre('b', 'r1'),
        'c': objects.DataCentre('c', 'r2'),
    },
}
# Title, whether links are limited, data centre, whether there is a budget.
CASES = [
    ('same region', True, 'b', False),
    ('unknown data centre', True, 'x', False),
    ('other region', True, 'c', True),
    ('other region without budgets', False, 'c', False),
]


class LinkBudgetsTest(unittest.TestCase):
    def test_which_data_centres_have_a_budget(self):
        for title, limits_links, data_centre, expected in CASES:
            with self.subTest(title):
                budgets = link_budgets.LinkBudgets(
                    None,
                    messages.NodeId('n1'),
                    objects.DataCentreName('a'),
                    messages.Incarnation(1),
                    random.Random(1),
                    lambda: None,
                )
                budgets.apply_objects(
                    objects.ObjectSet(**CONFIG, limits_links=limits_links)
                )
                budget = budgets.budget_for(data_centre)
                self.assertIs(expected, budget is not None)
                if budget is not None:
                    self.assertFalse(budget.try_spend_traffic(1, 0.0))
