"""Test the memory of a gateway process whose servers send without end."""

import pytest

from pimentowalk.platform.tests import endless

# Two thirds of the memory that an instance gives to a process.
MAX_PEAK_MB = 200
REQUESTS = 90


@pytest.mark.processes
@pytest.mark.parametrize(
    'kind', ['body without a length', 'event', 'comments', 'error']
)
async def test_responses_without_end_do_not_use_up_the_memory(tmp_path, kind):
    """LOST: the process was killed, with the requests of all other callers."""
    result = await endless.measure(tmp_path, kind, REQUESTS)
    assert set(result.statuses) <= {502, 503, 504}
    assert result.sound_statuses
    assert set(result.sound_statuses) == {200}
    assert result.peak_mb < MAX_PEAK_MB
