"""Quarantine of requests that crash the backend servers running them."""

import collections

import attrs

from pimentowalk.control import commands
from pimentowalk.control import parts

CRASHES_TO_QUARANTINE = 2
QUARANTINE_S = 600.0
# Crashes further apart than this are not attributed to one request.
CRASH_WINDOW_S = 3600.0
# The list of quarantined fingerprints is pushed as a whole: 8 KB at most.
MAX_QUARANTINED = 1_000
MAX_SUSPECTS = 10_000
# Callers retry a failed request within minutes. All requests in flight at a
# crash become suspects, so the pushed list is limited as well.
SUSPECT_DURATION_S = 600.0
MAX_SUSPECTS_PUSHED = 1_000
MAX_CRASHES_PER_FINGERPRINT = 16


@attrs.define
class Suspect:
    """The crashes counted for one fingerprint."""

    account: str
    crashes: dict[str, float] = attrs.field(factory=dict)
    until_s: float = 0.0


def crash_key(body):
    """Return the key by which reports of the same crash are merged."""
    return (
        f'{body.server_id}/{body.incarnation}/{body.request_id}/{body.attempt}'
    )


@parts.part('quarantine')
class Quarantine(parts.Part):
    """Count crashes per fingerprint; quarantine it after the second."""

    def __init__(self):
        self._suspects = collections.OrderedDict()
        self._quarantined = collections.OrderedDict()

    def active(self, time_s):
        """Return the fingerprints that are quarantined at a time."""
        return [
            fingerprint
            for fingerprint, suspect in self._quarantined.items()
            if suspect.until_s > time_s
        ]

    def suspects(self, time_s):
        """Return the fingerprints with one recent crash, newest first."""
        recent = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if max(suspect.crashes.values()) + SUSPECT_DURATION_S > time_s
        ]
        return recent[: -MAX_SUSPECTS_PUSHED - 1 : -1]

    def list_quarantined(self, time_s):
        """Return the quarantined requests with the servers they crashed."""
        return [
            commands.QuarantinedRequest(
                fingerprint,
                suspect.account,
                suspect.until_s,
                sorted({key.split('/')[0] for key in suspect.crashes}),
            )
            for fingerprint, suspect in self._quarantined.items()
            if suspect.until_s > time_s
        ]

    def record_crash(self, body, time_s):
        """Count a crash.

        Returns the number of crashes, whether the fingerprint is
        quarantined, and whether this crash was new.
        """
        self._expire(time_s)
        suspect = self._quarantined.get(body.fingerprint)
        if suspect is None:
            suspect = self._suspects.setdefault(
                body.fingerprint, Suspect(body.account)
            )
        key = crash_key(body)
        is_new = key not in suspect.crashes
        if is_new and len(suspect.crashes) < MAX_CRASHES_PER_FINGERPRINT:
            suspect.crashes[key] = time_s
        count = len(suspect.crashes)
        if suspect.until_s == 0.0 and count >= CRASHES_TO_QUARANTINE:
            suspect.until_s = time_s + QUARANTINE_S
            del self._suspects[body.fingerprint]
            self._quarantined[body.fingerprint] = suspect
        self._enforce_limits()
        return count, suspect.until_s > time_s, is_new

    def _expire(self, time_s):
        # Both tables are ordered by time, because records are.
        while self._quarantined:
            fingerprint, suspect = next(iter(self._quarantined.items()))
            if suspect.until_s > time_s:
                break
            del self._quarantined[fingerprint]
        while self._suspects:
            fingerprint, suspect = next(iter(self._suspects.items()))
            first_s = min(suspect.crashes.values())
            if first_s + CRASH_WINDOW_S > time_s:
                break
            del self._suspects[fingerprint]

    def _enforce_limits(self):
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        while len(self._quarantined) > MAX_QUARANTINED:
            self._quarantined.popitem(last=False)

    def clear(self, fingerprint):
        """Remove a fingerprint; return whether it was present."""
        quarantined = self._quarantined.pop(fingerprint, None)
        suspect = self._suspects.pop(fingerprint, None)
        return quarantined is not None or suspect is not None

    def snapshot(self):
        """Return the entries as JSON data."""
        unstructure = commands.CONVERTER.unstructure
        return {
            name: [[f, unstructure(s)] for f, s in table.items()]
            for name, table in self._tables()
        }

    def restore(self, data):
        """Restore the entries."""
        for name, table in self._tables():
            table.clear()
            for fingerprint, value in data[name]:
                table[fingerprint] = commands.CONVERTER.structure(
                    value, Suspect
                )

    def _tables(self):
        return (
            ('suspects', self._suspects),
            ('quarantined', self._quarantined),
        )


@parts.handles('ReportCrash')
def report_crash(state, body, context):
    """Apply a `ReportCrash` command."""
    part = state.part('quarantine')
    count, quarantined, context.changed = part.record_crash(
        body, context.time_s
    )
    context.detail = f'{body.fingerprint} at {body.server_id}'
    return commands.CrashResult(count, quarantined)


@parts.handles('ClearQuarantine')
def clear_quarantine(state, body, context):
    """Apply a `ClearQuarantine` command."""
    state.part('quarantine').clear(body.fingerprint)
    context.detail = str(body.fingerprint)
    return commands.Done()
