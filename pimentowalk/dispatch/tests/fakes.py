"""Fakes of a node, a call and a client for the tests of streams."""

import types

from pimentowalk.admission import account_shares
from pimentowalk.admission import room as admission_room
from pimentowalk.core import activity as core_activity
from pimentowalk.core import metrics as core_metrics
from pimentowalk.core import timers as core_timers
from pimentowalk.dispatch import held_bytes
from pimentowalk.dispatch import pauses
from pimentowalk.dispatch import transport
from pimentowalk.membership import backends as membership
from pimentowalk.routing import pace_state
from pimentowalk.topology import backends
from pimentowalk.topology import documents


def server(number, **others):
    """Return a server that holds all layers."""
    return backends.Backend(
        f'i-{number}',
        100,
        5,
        'svc',
        f'10.0.0.{number}',
        80,
        'z1',
        first_layer=0,
        end_layer=8,
        **others,
    )


def dispatcher(*servers):
    """Return the parts of a dispatcher that a run uses, in real time."""
    timers = core_timers.TimerService()
    table = membership.BackendTable(timers.now_s, 0.0)
    for backend in servers:
        table.apply(backend)
    return types.SimpleNamespace(
        timers=timers,
        zone='z1',
        limits=transport.ResponseLimits(),
        held_bytes=held_bytes.HeldBytes(1 << 20),
        node=types.SimpleNamespace(backends=table, live_nodes=1),
        metrics=core_metrics.Metrics('test'),
        admission=admission_room.AdmissionQueues(timers),
        account_shares=account_shares.AccountShares(timers.now_s),
        budget=types.SimpleNamespace(take=lambda *_, **__: True),
        outcomes=types.SimpleNamespace(record=lambda *_, **__: None),
        checks=types.SimpleNamespace(check=lambda _: None),
        in_flight=types.SimpleNamespace(record_full=lambda _: None),
        log_failed_try=lambda *_: None,
        log_denied_retry=lambda *_: None,
        log_cut_stream=lambda *_: None,
        suspect=lambda *_, **__: None,
        usable=table.usable,
        pauses=pauses.ServerPauses(timers.now_s, 60.0),
        pace=pace_state.OFF,
        paused_ids=lambda _: frozenset(),
        has_pauses=False,
        reject_if_barred=lambda _: None,
        is_barred=lambda _: False,
        report_failed_run=lambda *_, **__: None,
    )


def call(now_s, *, tokens=2, is_repeatable=True):
    """Return a call that was received at `now_s`."""
    return types.SimpleNamespace(
        request_id='r1',
        account=None,
        received_s=now_s,
        expires_at_s=now_s + 10,
        last_event_id=0,
        priority=1,
        prompt_tokens=tokens,
        expected_answer_tokens=0,
        activity=core_activity.Activity(),
        route=types.SimpleNamespace(
            kind=documents.STREAMING,
            is_resumable=is_repeatable,
            attempts=2,
            objective_s=0.5,
        ),
    )


def responder(*, started=False):
    """Return a responder that has sent its headers or not."""
    return types.SimpleNamespace(started=started)
