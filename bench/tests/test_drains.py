"""Checks of the measurement of drains."""

import pytest

from bench import drains


def test_bounds_depend_on_the_acknowledgement():
    """A server that control acknowledged as gone must not be listed."""
    good = drains.Drain(0.0, 0.0, 0.3, 0.4, True)
    assert drains.is_within_bounds(good)
    for listed_s, acknowledged, within in [
        (0.1, True, False),
        (0.1, False, True),
        (2.1, False, False),
    ]:
        drain = drains.Drain(listed_s, 0.0, 0.3, 0.4, acknowledged)
        assert drains.is_within_bounds(drain) == within
    late = drains.Drain(0.0, 0.0, 2.1, 2.2, True)
    assert not drains.is_within_bounds(late)


@pytest.mark.processes
async def test_drained_servers_are_neither_listed_nor_chosen(tmp_path):
    """A server was once listed after its process had ended."""
    found = await drains.measure(tmp_path, 6, parallel=2)
    assert len(found) == 6
    for drain in found:
        assert drains.is_within_bounds(drain), drain
