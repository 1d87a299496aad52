"""Tests of claims, fencing, quarantine, publishing and snapshots."""

import attrs
import pytest

from pimentowalk.control import change_results
from pimentowalk.control import claims
from pimentowalk.control import commands
from pimentowalk.control import fences
from pimentowalk.control import publishing
from pimentowalk.control import quarantine
from pimentowalk.control import state
from pimentowalk.control.tests import builders
from pimentowalk.core import errors
from pimentowalk.core.tests import error_codes
from pimentowalk.topology import contracts
from pimentowalk.wire import messages

RETENTION_S = claims.RETENTION_S


class Log:
    """Apply commands at increasing log indexes."""

    def __init__(self):
        self.state = state.ControlState()
        self.time_s = 5_000.0

    def apply(self, body):
        """Return the result of one command."""
        index = self.state.index + 1
        content = commands.to_log(body)
        return self.state.apply(index, content, self.time_s)

    def restart(self):
        """Replace the state by one restored from its snapshot."""
        restored = state.ControlState()
        restored.restore(self.state.snapshot())
        self.state = restored


@pytest.fixture
def log():
    return Log()


def test_conflicting_publish_reports_the_changes(log):
    """A lost update would silently undo the first operator's change."""
    log.apply(builders.publish('c1', 0))
    refusal = log.apply(builders.publish('c2', 0, two=builders.source(2)))
    assert refusal.code == 'conflict'
    assert 'service/svc-1 (1)' in refusal.text


def test_change_id_returns_the_first_result_of_one_change(log):
    """A retried publish must neither conflict nor be applied twice."""
    first = log.apply(builders.publish('c1', 0))
    log.restart()
    again = log.apply(builders.publish('c1', 0))
    assert again == attrs.evolve(first, repeated=True)
    other = log.apply(builders.publish('c1', 1, two=builders.source(2)))
    assert other.code == 'conflict'
    assert log.state.version == 1


def test_only_changed_contracts_get_the_new_version(log):
    """Agents would refuse requests although the contracts are unchanged."""
    log.apply(builders.publish('c1', 0))
    log.apply(builders.publish('c2', 1, one=builders.source(1, weight=2.0)))
    versions = log.state.part('publishing').configuration.scope_versions
    assert versions == {'service/svc-1': 1, 'route/r-1': 1, 'account/acc-1': 2}


INVALID_SOURCES = {
    'owned': ({'two': builders.source(1)}, 'owned by one'),
    'unknown service': (
        {'two': commands.Source([], [contracts.Route('r', 'no', '/x')])},
        'unknown service no',
    ),
    'service still used': (
        {'one': commands.Source([], builders.source(1).routes)},
        'unknown service svc-1',
    ),
    'same path': (
        {'two': commands.Source([], [contracts.Route('r', 'svc-1', '/r1')])},
        'share path /r1',
    ),
    'double': (
        {'two': commands.Source(builders.source(2).services * 2)},
        'defined twice',
    ),
}


@pytest.mark.parametrize('name', INVALID_SOURCES)
def test_inconsistent_publish_is_refused(log, name):
    """An inconsistent configuration would break routing at all nodes."""
    sources, reason = INVALID_SOURCES[name]
    log.apply(builders.publish('c1', 0))
    before = log.state.part('publishing').snapshot()
    refusal = log.apply(builders.publish('c2', 1, **sources))
    assert refusal.code == 'bad_request' and reason in refusal.text
    assert log.state.part('publishing').snapshot() == before


def test_contract_moves_between_sources_of_one_change_set(log):
    """Operators must be able to transfer a service to another source."""
    log.apply(builders.publish('c1', 0))
    moved = {'one': commands.Source(), 'two': builders.source(1)}
    assert log.apply(builders.publish('c2', 1, **moved)).version == 2
    assert list(log.state.part('publishing').sources()) == ['two']


def test_stored_changes_and_removals_are_bounded(monkeypatch):
    """Memory must stay bounded after years of changes."""
    results = change_results.ChangeResults(limit=2)
    for number in range(3):
        body = builders.publish(f'c{number}', number)
        results.record_result(body, b'', commands.PublishResult(number + 1))
    assert results.earlier_result(builders.publish('c0', 0), b'') is None
    assert (
        results.earlier_result(builders.publish('c2', 2), b'')['version'] == 3
    )
    monkeypatch.setattr(publishing, 'MAX_REMOVED_SCOPES', 1)
    part = publishing.Publishing()
    part.publish(builders.publish('a', 0))
    part.publish(builders.publish('b', 1, one=commands.Source()))
    assert not part.has_changes_after(1)
    assert part.has_changes_after(2)


def open_claim(claim_id='claim-1', body_hash='h1', **fields):
    server = commands.ServerAddress('server-1', 3, '127.0.0.1', 9)
    values = {'account': 'acc-1', 'key': 'key-1', 'server': server}
    values.update(request_id=b'\x01' * 16, **fields)
    return commands.OpenClaim(body_hash=body_hash, claim_id=claim_id, **values)


def settle(outcome='done', claim_id='claim-1', **fields):
    return commands.SettleClaim('acc-1', 'key-1', claim_id, outcome, **fields)


def release(claim_id='claim-1'):
    return commands.ReleaseClaim('acc-1', 'key-1', claim_id)


def test_key_is_claimed_once_and_returns_the_recorded_reply(log):
    """A retry through another entry must not run the call twice."""
    assert log.apply(open_claim()).state == 'new'
    assert log.apply(open_claim()).state == 'new'
    log.restart()
    second = log.apply(open_claim('claim-2'))
    assert (second.state, second.claim.claim_id) == ('open', 'claim-1')
    assert log.apply(open_claim('claim-3', 'h2')).state == 'key_reused'
    assert log.apply(open_claim('claim-4', account='acc-2')).state == 'new'
    headers = [messages.Header('X', 'y')]
    reply = settle(status=201, headers=headers, body=b'\x00\xff')
    log.apply(reply)
    assert log.apply(settle(body=b'other')).repeated
    log.restart()
    settled = log.apply(open_claim('claim-2'))
    assert (settled.state, settled.claim.body) == ('settled', b'\x00\xff')
    assert settled.claim.headers == headers


def test_released_key_needs_a_new_claim_id(log):
    """A delayed duplicate must not claim the released key again."""
    log.apply(open_claim())
    log.apply(release())
    assert log.apply(release()).repeated
    assert log.apply(open_claim()).code == 'conflict'
    assert log.apply(settle()).code == 'conflict'
    assert log.apply(open_claim('claim-2')).state == 'new'
    assert log.apply(settle()).code == 'conflict'
    assert log.apply(settle(claim_id='claim-2')) == commands.Done()
    assert log.apply(release('claim-2')).code == 'conflict'


def test_reply_replaces_an_unknown_outcome_for_good(log):
    """A recorded reply must not be lost again."""
    log.apply(open_claim())
    log.apply(settle('unknown'))
    assert log.apply(open_claim('claim-2')).state == 'unknown'
    log.apply(settle('done', body=b'ok'))
    log.apply(settle('unknown'))
    assert log.apply(open_claim('claim-2')).state == 'settled'


def test_claims_expire_by_the_time_of_the_records(log):
    """Replicas that used their own clocks would diverge."""
    log.apply(open_claim())
    log.time_s += RETENTION_S - 1
    assert log.apply(open_claim('claim-2')).state == 'open'
    log.time_s -= 500
    assert log.apply(open_claim('claim-2')).state == 'open'
    log.time_s += 501
    assert log.apply(open_claim('claim-2')).state == 'new'


def test_full_claim_tables_refuse_claims_or_drop_replies():
    """An evicted open claim could run twice; a reply may become unknown."""
    part = claims.Claims(limit=2, max_total_bytes=10)
    for number in (1, 2):
        part.open(open_claim(f'claim-{number}', key=f'key-{number}'), 0.0)
    with error_codes.raises('overloaded'):
        part.open(open_claim('claim-3', key='key-3'), 0.0)
    part.settle(settle(body=b'12345678'))
    other = attrs.evolve(settle(body=b'12345678'), claim_id='claim-2')
    part.settle(attrs.evolve(other, key='key-2'))
    result, _ = part.open(open_claim('claim-9'), 0.0)
    assert (result.state, result.claim.body) == ('unknown', b'')
    big = claims.Claims()
    big.open(open_claim(), 0.0)
    big.settle(settle(body=b'x' * (claims.MAX_REPLY_BYTES + 1)))
    assert big.open(open_claim('claim-2'), 0.0)[0].state == 'unknown'


def test_fences_increase_also_after_eviction(log):
    """An order with an older number must remain detectable as stale."""
    issue = commands.IssueFence('f1', 'anna', 'server-1', 'load')
    assert log.apply(issue).fence == 1
    assert log.apply(issue) == commands.FenceResult(1, repeated=True)
    log.restart()
    log.apply(attrs.evolve(issue, change_id='f2', server_id='server-2'))
    assert log.apply(attrs.evolve(issue, change_id='f3')).fence == 3
    small = fences.Fences(limit=1)
    issued = {name: small.issue(name) for name in ('a', 'b', 'a')}
    assert all(small.highest(name) >= n for name, n in issued.items())


def crash(request_id='r1', server_id='server-1', fingerprint=77):
    return commands.ReportCrash(fingerprint, 'acc-1', server_id, 3, request_id)


@pytest.mark.parametrize('server_id', ['server-1', 'server-2'])
def test_second_crash_quarantines_until_expiry(log, server_id):
    """A request that is retried would crash one server after another."""
    assert log.apply(crash()) == commands.CrashResult(1, False)
    assert log.apply(crash()) == commands.CrashResult(1, False)
    log.restart()
    second = log.apply(crash('r2', server_id))
    assert second == commands.CrashResult(2, True)
    part = log.state.part('quarantine')
    assert part.list_quarantined(log.time_s)[0].fingerprint == 77
    log.time_s += quarantine.QUARANTINE_S
    assert part.active(log.time_s) == []
    assert log.apply(crash('r3')) == commands.CrashResult(1, False)


def test_cleared_fingerprint_is_reset_and_table_is_bounded(log, monkeypatch):
    """Callers must not be able to exhaust memory with fingerprints."""
    log.apply(crash())
    log.apply(crash('r2'))
    log.apply(commands.ClearQuarantine('q1', 'anna', 77))
    assert log.apply(crash('r3')).crashes == 1
    monkeypatch.setattr(quarantine, 'MAX_SUSPECTS', 2)
    for number in range(5):
        log.apply(crash(fingerprint=number))
    assert log.apply(crash('r2', fingerprint=4)).quarantined
    assert not log.apply(crash('r2', fingerprint=0)).quarantined


def test_audit_records_each_applied_change_once(log):
    """Operators must see who changed what, also after a restart."""
    log.apply(builders.publish('c1', 0))
    log.apply(builders.publish('c1', 0))
    log.apply(builders.publish('c2', 0))
    log.apply(open_claim())
    log.apply(open_claim())
    log.restart()
    records = log.state.part('audit').records_after(0, 10)
    fields_of_records = [
        (r.index, r.name, r.author, r.change_id) for r in records
    ]
    assert fields_of_records == [
        (1, 'Publish', 'anna', 'c1'),
        (4, 'OpenClaim', '', ''),
    ]
    assert (records[0].from_version, records[0].to_version) == (0, 1)


@pytest.mark.parametrize('content', [b'', b'{"name":"Publish"}', b'x\x9cjunk'])
def test_malformed_record_is_refused_by_every_replica(log, content):
    """A replica that raises an exception would fall behind the others."""
    refusal = log.state.apply(1, content, 0.0)
    assert refusal.code == 'bad_request'


def test_snapshot_of_another_format_is_refused(log):
    """A newer snapshot must not be read in the current format."""
    content = log.state.snapshot().replace(b'"format":2', b'"format":3')
    with pytest.raises(errors.DamagedData, match='format'):
        log.state.restore(content)


def test_damaged_snapshot_is_refused_as_a_whole(log):
    """A partially restored state would give wrong results."""
    log.apply(open_claim())
    content = log.state.snapshot()
    for damaged in (content.rpartition(b'\n')[0], content[:40], b'\xff'):
        with pytest.raises(errors.DamagedData):
            log.state.restore(damaged)
    assert log.state.snapshot() == content


def test_keys_with_any_characters_survive_a_restart(log):
    """Callers choose keys; a separator in one must not corrupt claims."""
    keys = ['a\tb', 'a\nb', 'ø', '"', '\u2028']
    for number, key in enumerate(keys):
        log.apply(open_claim(f'claim-{number}', key=key))
    log.restart()
    for number, key in enumerate(keys):
        found = log.apply(open_claim('claim-9', key=key))
        assert found.claim.claim_id == f'claim-{number}'
