"""Test which requests may run again."""

import itertools
import types

import pytest

from pimentowalk.dispatch import repeats
from pimentowalk.topology import documents

METHODS = ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH')
KINDS = ('safe', 'non_idempotent', 'streaming')
# The requests of the rule "Idempotent requests are those of `safe` routes and
# streams that may be resumed; all others may run once at most", as pairs of
# the route's kind and its `is_resumable`.
IDEMPOTENT = {('safe', False), ('safe', True), ('streaming', True)}
# Events of two runs are joined only where a stream may be resumed.
JOINED = {('safe', True), ('streaming', True)}
ALL = set(itertools.product(KINDS, (False, True)))
ALLOWED = {
    'unsent': ALL,
    'refused': ALL,
    'sent': IDEMPOTENT,
    'begun': set(),
    'events': JOINED,
}


@pytest.mark.parametrize('answer', ALLOWED)
@pytest.mark.parametrize('method', METHODS)
@pytest.mark.parametrize('is_resumable', [False, True])
@pytest.mark.parametrize('kind', KINDS)
def test_request_runs_again_only_by_the_rule(
    kind, is_resumable, method, answer
):
    """TWICE: bookings ran again where their route had `resumable`."""
    call = types.SimpleNamespace(
        method=method,
        route=types.SimpleNamespace(kind=kind, is_resumable=is_resumable),
    )
    is_allowed = repeats.may_run_again(call, repeats.Answer(answer))
    assert is_allowed == ((kind, is_resumable) in ALLOWED[answer])


def test_table_has_all_kinds_and_answers():
    """A new kind of route or state of an answer would not be tested."""
    assert set(KINDS) == set(documents.KINDS)
    assert set(ALLOWED) == {answer.value for answer in repeats.Answer}
