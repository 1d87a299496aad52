"""Guard the record of requests in flight at a crash."""

from pimentowalk.admission import suspicion


def in_flight(*fingerprints):
    """Return requests with these fingerprints."""
    return [suspicion.InFlightRequest(f, 'a', b'r', 1) for f in fingerprints]


def test_completion_clears_only_its_own_fingerprint():
    """An innocent request that completed must not run alone for ever."""
    subject = suspicion.SuspectTable()
    subject.record_crash(in_flight(1, 2, 2))
    assert subject.crashes == {1: 1, 2: 1}
    subject.clear(1)
    assert not subject.is_suspect(1)
    assert subject.is_suspect(2)


def test_requests_without_a_fingerprint_are_no_suspects():
    """Fingerprint 0 would make every such request a suspect."""
    subject = suspicion.SuspectTable()
    subject.record_crash(in_flight(0))
    assert not subject.is_suspect(0)


def test_table_is_bounded():
    """Crashes under many different requests must not fill the memory."""
    subject = suspicion.SuspectTable()
    subject.record_crash(in_flight(*range(1, suspicion.MAX_SUSPECTS + 10)))
    assert len(subject.crashes) == suspicion.MAX_SUSPECTS
