"""Tests that a request is rejected after it has crashed several servers."""

from pimentowalk.admission import crashes


def _tracker(now=None):
    now = now or [0.0]
    return crashes.CrashTracker(lambda: now[0])


def test_request_is_rejected_after_several_crashes():
    """The caller of such a request may resend it to any node."""
    tracker = _tracker()
    for number in range(crashes.QUARANTINE_CRASHES):
        assert not tracker.is_quarantined(7)
        assert tracker.record(7, f's{number}', 1)
    assert tracker.is_quarantined(7)


def test_one_crash_that_many_nodes_report_counts_once():
    """All nodes report the crash of the same incarnation."""
    tracker = _tracker()
    assert tracker.record(7, 's', 1)
    for _ in range(10):
        assert not tracker.record(7, 's', 1)
    assert not tracker.is_quarantined(7)


def test_request_that_completes_is_cleared():
    """Another request in flight at the same time crashed the server."""
    tracker = _tracker()
    for number in range(crashes.QUARANTINE_CRASHES):
        tracker.record(7, f's{number}', 1)
    tracker.clear(7)
    assert not tracker.is_quarantined(7)


def test_crashes_expire():
    """Servers with a fix may be able to run the request."""
    now = [0.0]
    tracker = _tracker(now)
    for number in range(crashes.QUARANTINE_CRASHES):
        tracker.record(7, f's{number}', 1)
    now[0] = crashes.CRASH_EXPIRY_S + 1
    assert not tracker.is_quarantined(7)


def test_requests_without_a_fingerprint_are_not_counted():
    """All requests without a body would share a fingerprint."""
    tracker = _tracker()
    for number in range(10):
        assert not tracker.record(0, f's{number}', 1)
    assert not tracker.is_quarantined(0)
