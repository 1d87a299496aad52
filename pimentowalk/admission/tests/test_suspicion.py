"""Tests of the table of requests in flight at a crash."""

from pimentowalk.admission import suspicion


def in_flight(*fingerprints):
    """Return requests with these fingerprints."""
    return [suspicion.InFlightRequest(f, 'a', b'r', 1) for f in fingerprints]


def test_completion_clears_only_its_own_fingerprint():
    """A harmless request that completed must not stay isolated."""
    suspects = suspicion.SuspectTable()
    suspects.record_crash(in_flight(1, 2, 2))
    assert suspects.crashes == {1: 1, 2: 1}
    suspects.clear(1)
    assert not suspects.is_suspect(1)
    assert suspects.is_suspect(2)


def test_requests_without_a_fingerprint_are_no_suspects():
    """With fingerprint 0 every such request would be a suspect."""
    suspects = suspicion.SuspectTable()
    suspects.record_crash(in_flight(0))
    assert not suspects.is_suspect(0)


def test_table_is_bounded():
    """Crashes of many different requests must not exhaust memory."""
    suspects = suspicion.SuspectTable()
    suspects.record_crash(in_flight(*range(1, suspicion.MAX_SUSPECTS + 10)))
    assert len(suspects.crashes) == suspicion.MAX_SUSPECTS
