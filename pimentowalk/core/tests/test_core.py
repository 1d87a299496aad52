"""Test the core library."""

import doctest
import importlib
import io
import json
import logging

import pytest

from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.core import logs
from pimentowalk.core import metrics
from pimentowalk.core import registry
from pimentowalk.core import timers


@pytest.mark.parametrize(
    'name',
    [
        'core.errors',
        'core.identifiers',
        'core.metrics',
        'core.registry',
        'wire.schema',
    ],
)
def test_docstring_examples_hold(name):
    """A docstring example that no longer holds misleads readers."""
    module = importlib.import_module(f'pimentowalk.{name}')
    result = doctest.testmod(module)
    assert result.attempted > 0
    assert result.failed == 0


def test_unknown_error_code_is_refused():
    """A code outside the table would reach clients undocumented."""
    with pytest.raises(ValueError, match='no_such_code'):
        errors.PimentowalkError('x', code='no_such_code')


def test_second_registration_of_a_name_is_refused():
    """Silent replacement would make behaviour depend on import order."""
    shapes = registry.Registry('shape')
    shapes.register('square')(int)
    with pytest.raises(ValueError, match='already registered'):
        shapes.register('square')(str)
    with pytest.raises(errors.PimentowalkError, match='known: square'):
        shapes.get('circle')


def test_hash_depends_on_part_boundaries():
    """Collisions of joined parts would skew the choice of subsets."""
    assert identifiers.hash64('ab', 'c') != identifiers.hash64('a', 'bc')


async def test_manual_timers_call_in_order_until_cancelled():
    """A timer that fires early or after cancellation breaks leases."""
    service = timers.ManualTimerService()
    calls = []
    periodic = service.every(2.0, lambda: calls.append(service.now_s()))
    service.after(3.0, lambda: calls.append('once'))
    await service.advance(5.0)
    assert calls == [2.0, 'once', 4.0]
    periodic.cancel()
    await service.advance(5.0)
    assert calls == [2.0, 'once', 4.0]


async def test_failing_callback_does_not_end_its_subscription():
    """A single callback error must not stop heartbeats permanently."""
    service = timers.ManualTimerService()
    calls = []

    def fail():
        calls.append(service.now_s())
        raise RuntimeError('fault')

    service.every(1.0, fail)
    await service.advance(3.0)
    assert calls == [1.0, 2.0, 3.0]


def test_quantiles_clamp_values_outside_the_range():
    """A value out of range must not raise during a request."""
    process_metrics = metrics.Metrics('entry')
    process_metrics.record_s('wait', -1.0)
    process_metrics.record_s('wait', 1e9)
    assert process_metrics.quantile_s('wait', 100) == pytest.approx(
        600, rel=0.05
    )
    assert 'quantile="0.95"' in process_metrics.render()


def test_log_lines_are_json_with_fields():
    """Log collectors expect one JSON object per line."""
    root = logging.getLogger()
    saved = (root.handlers[:], root.level)
    try:
        logs.configure('entry')
        stream = io.StringIO()
        root.handlers[0].setStream(stream)
        logging.getLogger('x').info(
            'sent', extra=logs.fields(request_id=b'\x01', peer='agent-1')
        )
    finally:
        root.handlers[:], _ = saved
        root.setLevel(saved[1])
    line = json.loads(stream.getvalue())
    assert line['request_id'] == '01'
    assert (line['message'], line['peer']) == ('sent', 'agent-1')
    assert (line['level'], line['program']) == ('INFO', 'entry')
