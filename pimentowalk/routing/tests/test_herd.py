"""Many entries that know each other's work late, and one fast server.

All entries see the same loads and prefer the same server. The pattern: a
large accelerator holds a third of the layers of its zone, and at the crest
26 entries send it more than its memory holds before their reports tell.
"""

import random

import pytest

from pimentowalk.routing import hops
from pimentowalk.routing import outcomes
from pimentowalk.routing import work
from pimentowalk.topology import backends
from pimentowalk.topology import documents

NODES = 26
STREAM_S = 2.0
REPORT_S = 0.5
BATCH_S = 0.25
TOKENS = 1000
CREST_PER_S = 60.0
LENGTH_S = 12.0
TICK_S = 0.01
ENGINE = documents.Engine(
    model='m',
    total_layers=80,
    layer_mb=1750.0,
    kv_token_bytes=1_180_000,
    step_ms=1.02,
    load_s=14.0,
    usual_answer_tokens=216,
    accelerators={
        'a100': documents.Accelerator('a100', 72_000, 2.4, 3.2),
        'l4': documents.Accelerator('l4', 21_600, 16.0, 8.2),
    },
)


def servers():
    """Return one large server for layers 0-28 and two copies by small ones."""
    found = [
        backends.Backend(
            'large', 1, 1, 'svc', '10.0.0.1', 80, 'z1',
            accelerator='a100', first_layer=0, end_layer=28,
            slots=96,
        )
    ]  # fmt: skip
    for copy in range(3):
        for number, first in enumerate(range(0, 80, 8)):
            if copy == 2 and first < 24:
                continue
            found.append(
                backends.Backend(
                    f's-{copy}-{number}', 1, 1, 'svc',
                    f'10.0.{copy + 1}.{number}', 80, 'z1', accelerator='l4',
                    first_layer=first, end_layer=first + 8, slots=96,
                )
            )  # fmt: skip
    return found


class Zone:
    """Entries of one zone, the memory of its servers and what they refuse."""

    def __init__(self, seed):
        self.now_s = 0.0
        self.rng = random.Random(seed)
        self.servers = servers()
        self.books = [
            work.InFlightTracker(f'n{number}', lambda: self.now_s)
            for number in range(NODES)
        ]
        for book in self.books:
            book.set_engines({'svc': ENGINE})
        self.paths = [
            hops.CheapestPath(
                book, self.rng, outcomes.OutcomeTracker(lambda: self.now_s)
            )
            for book in self.books
        ]
        self.phases_s = [self.rng.random() * REPORT_S for _ in self.books]
        self.due_s = list(self.phases_s)
        self.held = {backend.server_id: 0 for backend in self.servers}
        self.capacity = {
            backend.server_id: self.books[0].capacity_tokens(backend)
            for backend in self.servers
        }
        self.running = []
        self.on_the_way = []
        self.sent = self.refused = 0

    def play(self):
        """Play the crest."""
        while self.now_s < LENGTH_S:
            self.now_s += TICK_S
            self._report()
            self._end()
            if self.rng.random() < CREST_PER_S * TICK_S:
                self._begin(self.rng.randrange(NODES))

    def _report(self):
        for number, book in enumerate(self.books):
            if self.now_s >= self.due_s[number]:
                self.due_s[number] += REPORT_S
                arrives_s = self.now_s + self.rng.random() * BATCH_S
                self.on_the_way.append((arrives_s, book.report()))
        arrived = [r for at_s, r in self.on_the_way if at_s <= self.now_s]
        self.on_the_way = [r for r in self.on_the_way if r[0] > self.now_s]
        for report in arrived:
            for book in self.books:
                book.record_report(report)

    def _begin(self, number):
        path = self.paths[number].choose(
            self.servers, hops.PathQuery(80, TOKENS, 'z1')
        )
        ids = [hop.backend.server_id for hop in path]
        self.sent += 1
        if any(self.held[i] + TOKENS > self.capacity[i] for i in ids):
            self.refused += 1
            return
        self.books[number].begin(ids, TOKENS)
        for server_id in ids:
            self.held[server_id] += TOKENS
        self.running.append((self.now_s + STREAM_S, number, ids))

    def _end(self):
        ended = [r for r in self.running if r[0] <= self.now_s]
        self.running = [r for r in self.running if r[0] > self.now_s]
        for _, number, ids in ended:
            self.books[number].end(ids, TOKENS)
            for server_id in ids:
                self.held[server_id] -= TOKENS


def share_refused(seed):
    """Return the share of requests sent to a server without room."""
    zone = Zone(seed)
    zone.play()
    assert zone.sent > CREST_PER_S * LENGTH_S / 2
    return zone.refused / zone.sent


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_entries_do_not_fill_the_best_server_together(seed):
    """The zone has room for all, so that few may meet a full server."""
    assert share_refused(seed) <= 0.02


def test_late_reports_alone_overfill_the_best_server(monkeypatch):
    """Without the estimate of unreported work the pattern does harm."""
    monkeypatch.setattr(work, 'UNREPORTED_S', 0.0)
    assert share_refused(1) > 0.02
