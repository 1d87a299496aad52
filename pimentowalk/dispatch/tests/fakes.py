"""What the tests of streams put in place of a node, a call and a caller."""

import types

from pimentowalk.admission import room as admission_room
from pimentowalk.core import metrics as core_metrics
from pimentowalk.core import timers as core_timers
from pimentowalk.membership import backends as membership
from pimentowalk.topology import backends


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
    """Return what a run needs of its dispatcher, on real time."""
    timers = core_timers.TimerService()
    table = membership.BackendTable(timers.now_s, 0.0)
    for one in servers:
        table.apply(one)
    return types.SimpleNamespace(
        timers=timers,
        zone='z1',
        node=types.SimpleNamespace(backends=table, live_nodes=1),
        metrics=core_metrics.Metrics('test'),
        room=admission_room.AdmissionQueue(timers),
        budget=types.SimpleNamespace(take=lambda *_, **__: True),
        outcomes=types.SimpleNamespace(record=lambda *_, **__: None),
        checks=types.SimpleNamespace(check=lambda _: None),
        book=types.SimpleNamespace(record_full=lambda _: None),
        log_failed_try=lambda *_: None,
        log_denied_repeat=lambda *_: None,
        suspect=lambda *_: None,
    )


def call(now_s, *, tokens=2, is_repeatable=True):
    """Return a call that arrives now."""
    return types.SimpleNamespace(
        received_s=now_s,
        ends_s=now_s + 10,
        last_event_id=0,
        priority=1,
        prompt_tokens=tokens,
        expected_answer_tokens=0,
        route=types.SimpleNamespace(
            is_repeatable=is_repeatable, attempts=2, objective_s=0.5
        ),
    )


def responder(*, started=False):
    """Return a caller's side that has its headers or not."""
    return types.SimpleNamespace(started=started)
