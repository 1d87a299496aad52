"""Requests that crash the backend servers that run them."""

import collections

import attrs

from pimentowalk.control import commands
from pimentowalk.control import parts

CRASHES_TO_QUARANTINE = 2
QUARANTINE_S = 600.0
# Crashes further apart than this are not held against one request.
CRASH_MEMORY_S = 3600.0
# The list of quarantined fingerprints is pushed as a whole: 8 KB at most.
QUARANTINED_KEPT = 1_000
SUSPECTS_KEPT = 10_000
# A caller sends a failed request again within minutes. Everybody in flight
# at a crash is a suspect, so the list that is pushed is bounded as well.
SUSPECT_S = 600.0
SUSPECTS_PUSHED = 1_000
CRASHES_KEPT = 16


@attrs.define
class Suspect:
    """The crashes counted for one fingerprint."""

    account: str
    crashes: dict[str, float] = attrs.field(factory=dict)
    until_s: float = 0.0


def crash_key(body):
    """Return what makes two reports tell of the same crash."""
    return (
        f'{body.server_id}/{body.incarnation}/{body.request_id}/{body.attempt}'
    )


@parts.part('quarantine')
class Quarantine(parts.Part):
    """Count crashes by fingerprint and quarantine after the second."""

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
            if max(suspect.crashes.values()) + SUSPECT_S > time_s
        ]
        return recent[: -SUSPECTS_PUSHED - 1 : -1]

    def listed(self, time_s):
        """Return the quarantined requests for display."""
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

    def report(self, body, time_s):
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
        new = key not in suspect.crashes
        if new and len(suspect.crashes) < CRASHES_KEPT:
            suspect.crashes[key] = time_s
        count = len(suspect.crashes)
        if suspect.until_s == 0.0 and count >= CRASHES_TO_QUARANTINE:
            suspect.until_s = time_s + QUARANTINE_S
            del self._suspects[body.fingerprint]
            self._quarantined[body.fingerprint] = suspect
        self._bound()
        return count, suspect.until_s > time_s, new

    def _expire(self, time_s):
        # Both tables are in order of time, because records are.
        while self._quarantined:
            fingerprint, suspect = next(iter(self._quarantined.items()))
            if suspect.until_s > time_s:
                break
            del self._quarantined[fingerprint]
        while self._suspects:
            fingerprint, suspect = next(iter(self._suspects.items()))
            first_s = min(suspect.crashes.values())
            if first_s + CRASH_MEMORY_S > time_s:
                break
            del self._suspects[fingerprint]

    def _bound(self):
        while len(self._suspects) > SUSPECTS_KEPT:
            self._suspects.popitem(last=False)
        while len(self._quarantined) > QUARANTINED_KEPT:
            self._quarantined.popitem(last=False)

    def clear(self, fingerprint):
        """Forget a fingerprint; return whether it was known."""
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
        """Replace the entries."""
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
    count, quarantined, context.changed = part.report(body, context.time_s)
    context.detail = f'{body.fingerprint} at {body.server_id}'
    return commands.CrashResult(count, quarantined)


@parts.handles('ClearQuarantine')
def clear_quarantine(state, body, context):
    """Apply a `ClearQuarantine` command."""
    state.part('quarantine').clear(body.fingerprint)
    context.detail = str(body.fingerprint)
    return commands.Done()
