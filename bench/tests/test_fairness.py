"""Guard the measurement of fairness itself."""

import json
import random

import pytest

from bench import fairness


def test_fair_shares_equally_what_fifo_gives_to_the_loudest(capsys):
    """A measurement that cannot tell the policies apart is worthless."""
    index = {
        policy: fairness.measure_shares(policy, 3, 40.0)
        for policy in ('fifo', 'fair')
    }
    assert index['fair'] > 0.98
    assert index['fifo'] < 0.9
    lines = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert [line['policy'] for line in lines] == ['fifo', 'fair']


def test_long_jobs_delay_short_work_less_under_fair(capsys):
    """The reserve must show in the wait of short work."""
    waits_s = [
        fairness.measure_short(policy, 3, 120.0, 0.15, 25, with_long=True)
        for policy in ('fifo', 'fair')
    ]
    assert waits_s[1] < waits_s[0] / 4


def test_offered_load_is_as_stated():
    """A wrong load would make every other figure wrong."""
    requests = fairness.equal_accounts(random.Random(3), 200.0)
    tokens = sum(request.tokens for request in requests)
    offered = tokens / (200.0 * fairness.CAPACITY_TOKENS_PER_S)
    assert offered == pytest.approx(fairness.OVERLOAD, rel=0.1)
