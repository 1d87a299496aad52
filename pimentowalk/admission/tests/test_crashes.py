"""Guard that a request stops after it has crashed several servers."""

from pimentowalk.admission import crashes


def _book(now=None):
    now = now or [0.0]
    return crashes.CrashTracker(lambda: now[0])


def test_request_is_refused_after_several_crashes():
    """Its caller sends it again and again, at any node."""
    book = _book()
    for number in range(crashes.QUARANTINE_CRASHES):
        assert not book.is_quarantined(7)
        assert book.record(7, f's{number}', 1)
    assert book.is_quarantined(7)


def test_one_crash_that_many_nodes_report_counts_once():
    """All nodes tell of the same incarnation."""
    book = _book()
    assert book.record(7, 's', 1)
    for _ in range(10):
        assert not book.record(7, 's', 1)
    assert not book.is_quarantined(7)


def test_request_that_completes_is_cleared():
    """It was only in flight beside the one that crashed the server."""
    book = _book()
    for number in range(crashes.QUARANTINE_CRASHES):
        book.record(7, f's{number}', 1)
    book.clear(7)
    assert not book.is_quarantined(7)


def test_crashes_are_forgotten_in_time():
    """A mended server may run it."""
    now = [0.0]
    book = _book(now)
    for number in range(crashes.QUARANTINE_CRASHES):
        book.record(7, f's{number}', 1)
    now[0] = crashes.KEPT_S + 1
    assert not book.is_quarantined(7)


def test_requests_without_a_fingerprint_are_not_counted():
    """Requests without a body would all share one."""
    book = _book()
    for number in range(10):
        assert not book.record(0, f's{number}', 1)
    assert not book.is_quarantined(0)
