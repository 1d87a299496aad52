"""The promises that the soak checks, from what others see."""

import collections

import attrs

# Statuses that promise that a request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})
MAX_KEPT = 50
# The route of streams allows this many.
MOST_ATTEMPTS = 2


@attrs.define
class Outcome:
    """What a caller saw of one request; `events` are those of a stream."""

    request_id: str
    kind: str
    gateway: str
    key: str
    sent_s: float
    status: int = 0
    text: str = ''
    seal: str = ''
    events: list = attrs.field(factory=list)
    is_complete: bool = False
    error: str = ''


class Checks:
    """Collect violations; `violations` is empty after a good run."""

    def __init__(self):
        self.violations = []
        self.counts = collections.Counter()

    def fail(self, promise, text):
        """Note a broken promise."""
        self.counts[f'violations_{promise}'] += 1
        if len(self.violations) < MAX_KEPT:
            self.violations.append(f'{promise}: {text}')

    def of_answer(self, outcome, most_events):
        """Check one answer by itself."""
        ended = outcome.status or outcome.error or 'cut'
        self.counts[f'{outcome.kind}_{ended}'] += 1
        if outcome.kind == 'stream':
            self._of_stream(outcome, most_events)
        elif outcome.status == 200 and outcome.is_complete:
            if not outcome.text.startswith(f'done {outcome.request_id} '):
                self.fail('mixed', f'{outcome}')
        if outcome.status == 200 and outcome.seal != (
            f'seal-{outcome.request_id}'
        ):
            self.fail('mixed', f'seal {outcome.seal} of {outcome}')

    def _of_stream(self, outcome, most_events):
        wanted = [
            f'{outcome.request_id}/{number}'
            for number in range(1, len(outcome.events) + 1)
        ]
        if outcome.events != wanted:
            self.fail('order', f'{outcome.request_id}: {outcome.events}')
        cut = outcome.is_complete and len(outcome.events) != most_events
        if outcome.status == 200 and cut:
            self.fail('order', f'{outcome} ended early but looks complete')

    def of_runs(self, outcomes, servers):
        """Compare answers with what the servers ran."""
        runs = collections.Counter()
        lost = collections.Counter()
        for server in servers:
            runs.update(server.runs)
            lost.update(server.lost_runs)
            for path in server.bad_paths:
                self.fail('layers', path)
        known = {outcome.request_id for outcome in outcomes}
        for request_id in runs.keys() - known:
            self.fail('unasked', f'{request_id!r} was never sent')
        for outcome in outcomes:
            ran = runs[outcome.request_id]
            if outcome.kind == 'booking' and ran > 1:
                self.fail('twice', f'{outcome.request_id} ran {ran} times')
            if outcome.status in NOT_RUN and outcome.kind == 'booking' and ran:
                self.fail('refused', f'{outcome} but it ran')
            # Servers that ended or were cut off meanwhile take no attempt.
            counted = ran - lost[outcome.request_id]
            if outcome.kind == 'stream' and counted > MOST_ATTEMPTS:
                self.fail('attempts', f'{outcome.request_id} ran {ran} times')

    def of_read(self, status, version, acknowledged):
        """Check a read of the configuration sent after an acknowledgement."""
        self.counts[f'read_{status}'] += 1
        if status == 200 and version < acknowledged:
            self.fail('reverted', f'read {version} after {acknowledged}')

    def of_revoked(self, outcome, servers, bound_s, revoked_s):
        """Check that no request with a revoked key ran after the bound."""
        if outcome.sent_s <= revoked_s + bound_s:
            return
        for server in servers:
            if server.runs[outcome.request_id]:
                late_s = outcome.sent_s - revoked_s
                self.fail('revoked', f'{outcome} ran {late_s:.1f} s late')
