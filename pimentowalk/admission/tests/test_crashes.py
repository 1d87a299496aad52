"""Test which requests are rejected after servers have crashed.

Requests with one part of a prompt crash each server that begins them. No two
of them are alike, and sound requests share their caller and other parts.
"""

import random

import pytest

from pimentowalk.admission import crashes
from pimentowalk.wire import node_messages

DEADLY, SHARED, OTHER, RARE = 1, 2, 3, 4
# After this time all crashes so far have been judged.
SETTLED_S = crashes.JUDGED_AFTER_S + 0.1


class World:
    """Some nodes that exchange crashes and completions at once."""

    def __init__(self, node_count=3):
        self.now_s = 0.0
        self.servers = 0
        self.nodes = [
            crashes.CrashTracker(lambda: self.now_s, f'n{number}')
            for number in range(node_count)
        ]

    def crash(self, *silent, others=(), nodes=None, gap_s=1.0):
        """Let a new server crash with the traits of its requests."""
        self.now_s += gap_s
        self.servers += 1
        note = node_messages.CrashNote(
            0, f's{self.servers}', 1, 0, list(silent), list(others)
        )
        for node in nodes or self.nodes:
            node.record(note)
        self.exchange()

    def complete(self, *traits, times=1):
        """Let requests run to completion at the first node."""
        for _ in range(times):
            self.nodes[0].record_completion(traits)

    def exchange(self):
        """Send the completions of the first node to all others."""
        first, *rest = self.nodes
        counts = {x.trait: x.completions for x in first.completions()}
        for node in rest:
            node.record_other_completions(counts)

    def barred(self, *traits):
        """Return at how many nodes requests with these traits are barred.

        All crashes so far have been judged by then.
        """
        self.now_s += SETTLED_S
        return sum(node.barred(traits) is not None for node in self.nodes)


@pytest.fixture
def world():
    return World()


def test_request_is_rejected_after_several_crashes(world):
    """The caller of such a request may resend it to any node."""
    for _ in range(crashes.MIN_CRASHES):
        assert not world.barred(DEADLY)
        world.crash(DEADLY)
    assert world.barred(DEADLY) == 3


def test_part_that_crashes_servers_is_barred_in_new_requests(world):
    """No two of the requests are alike, only one part is the same."""
    for number in range(crashes.MIN_CRASHES):
        world.complete(SHARED)
        world.crash(100 + number, SHARED, DEADLY)
    assert world.barred(999, SHARED, DEADLY) == 3
    assert world.nodes[0].barred([DEADLY]).trait == DEADLY


def test_part_that_sound_requests_share_is_not_barred(world):
    """A system prompt was present at each crash, as it is everywhere."""
    for number in range(8):
        world.complete(SHARED, OTHER)
        world.crash(100 + number, SHARED, DEADLY, OTHER)
    assert world.barred(DEADLY) == 3
    assert not world.barred(SHARED, OTHER)


def test_shared_part_is_spared_without_a_completion_in_between(world):
    """Crashes may follow each other faster than a stream takes."""
    world.complete(SHARED, times=20)
    for number in range(crashes.MIN_CRASHES):
        world.crash(100 + number, SHARED, DEADLY, gap_s=0.3)
    assert world.barred(DEADLY) == 3
    assert not world.barred(SHARED)


def test_rare_part_is_not_barred_because_it_was_there_three_times(world):
    """DENIED: parts of sound sessions had not completed in between.

    Nothing told them from the deadly part at the third crash.
    """
    for number in range(3):
        world.crash(100 + number, DEADLY, RARE)
    assert not world.barred(RARE)
    world.crash(200, DEADLY)
    assert world.barred(DEADLY) == 3
    assert not world.barred(RARE)


def test_parts_that_always_come_together_are_barred_together(world):
    """Either of them may be the cause; waiting would cost more servers."""
    for _ in range(crashes.MIN_CRASHES_IF_TIED):
        assert not world.barred(DEADLY)
        world.crash(DEADLY, OTHER)
    assert world.barred(DEADLY) == world.barred(OTHER) == 3


def test_two_parts_are_found_beside_a_crash_by_load(world):
    """Each part explains its own crashes, and none explains the other."""
    for number in range(crashes.MIN_CRASHES):
        world.complete(SHARED, times=2)
        world.crash(100 + number, SHARED, DEADLY)
        world.crash(200 + number, SHARED, RARE)
        world.crash(300 + number, SHARED)
    assert world.barred(DEADLY) == world.barred(RARE) == 3
    assert not world.barred(SHARED)


def test_prompt_is_spared_when_hardly_anything_completes(world):
    """DENIED: the deadly requests of some crashes were not reported.

    Their clients had left. The system prompt that they share was present at
    each crash, and only some requests with it completed in between.
    """
    world.complete(SHARED, times=3)
    for number in range(5):
        deadly = [DEADLY] if number < 2 else []
        world.crash(100 + number, SHARED, *deadly)
    assert not world.barred(SHARED)


def test_part_that_crashes_only_some_servers_is_barred(world):
    """Servers of one version crash, those of another complete it."""
    for number in range(8):
        world.complete(DEADLY)
        world.crash(100 + number, DEADLY)
    assert world.barred(DEADLY) == 3


def test_servers_that_fail_together_accuse_nobody(world):
    """A rack loses power: every popular prompt was running there."""
    for _ in range(12):
        world.crash(SHARED, OTHER, gap_s=0.01)
    assert not world.barred(SHARED)
    assert not world.barred(OTHER)


def test_request_with_output_is_suspected_only_alone(world):
    """Requests that were being answered did not crash the server."""
    for number in range(4):
        world.crash(100 + number, DEADLY, others=[SHARED])
        world.crash(others=[OTHER])
    assert not world.barred(SHARED)
    assert world.barred(OTHER) == 3


def test_one_crash_that_many_nodes_report_counts_once(world):
    """All nodes report the crash of the same incarnation."""
    note = node_messages.CrashNote(0, 's', 1, 0, [DEADLY])
    assert world.nodes[0].record(note)
    for _ in range(10):
        assert not world.nodes[0].record(note)
    assert not world.barred(DEADLY)


def test_bar_ends_and_one_more_crash_renews_it_for_longer(world):
    """Servers with a fix may be able to run the requests."""
    for _ in range(crashes.MIN_CRASHES):
        world.crash(DEADLY)
    world.now_s += crashes.BAR_S * (1 + crashes.BAR_SPREAD_SHARE)
    assert not world.barred(DEADLY)
    world.crash(DEADLY)
    assert world.barred(DEADLY) == 3
    world.now_s += 1.9 * crashes.BAR_S
    assert world.barred(DEADLY) == 3


def test_each_bar_is_logged_once(world, caplog):
    """Operators look for the time at which callers were rejected."""
    for _ in range(crashes.MIN_CRASHES + 1):
        world.crash(DEADLY)
    assert world.barred(DEADLY) == 3
    assert caplog.text.count('are rejected') == 3
    world.now_s += 3 * crashes.BAR_S
    assert not world.barred(DEADLY)
    world.crash(DEADLY)
    assert world.barred(DEADLY) == 3
    assert caplog.text.count('are rejected') == 6


def test_nodes_try_a_barred_part_again_one_after_another():
    """Otherwise each node would crash a server at the same moment."""
    world = World(node_count=40)
    for _ in range(crashes.MIN_CRASHES):
        world.crash(DEADLY)
    world.now_s += SETTLED_S
    ends = sorted(node.barred([DEADLY]).until_s for node in world.nodes)
    assert ends[-1] - ends[0] > crashes.BAR_S * crashes.BAR_SPREAD_SHARE / 2
    assert ends[4] - ends[0] > 1.0


def test_part_that_completes_again_is_not_barred_any_more(world):
    """The version that crashed has been replaced."""
    for _ in range(crashes.MIN_CRASHES):
        world.crash(DEADLY)
    world.now_s += 2 * crashes.BAR_S
    world.complete(DEADLY, times=4)
    world.crash(DEADLY)
    assert not world.barred(DEADLY)


def test_node_that_was_cut_off_learns_of_the_crashes(world):
    """It has seen none of them and must not crash another server."""
    late = world.nodes[2]
    for _ in range(crashes.MIN_CRASHES):
        world.crash(DEADLY, nodes=world.nodes[:2])
    world.now_s += SETTLED_S
    assert late.barred([DEADLY]) is None
    world.now_s += 10.0
    for note in world.nodes[0].notes():
        late.record(note)
    bar = late.barred([DEADLY])
    known = world.nodes[0].barred([DEADLY])
    assert bar.crashes == known.crashes
    assert abs(bar.until_s - known.until_s) <= (
        crashes.BAR_S * crashes.BAR_SPREAD_SHARE
    )


def test_memory_is_bounded_when_callers_send_new_parts_without_end(world):
    """Parts are chosen by callers, so that there is no end to them."""
    tracker = world.nodes[0]
    for number in range(crashes.MAX_COMPLETED_TRAITS + 100):
        tracker.record_completion([10_000 + number])
    for number in range(crashes.MAX_CRASHES + 20):
        first = 10**6 + number * 1000
        world.crash(*range(first, first + 1000), nodes=[tracker])
        for trait in range(first, first + 300):
            tracker.record_completion([trait])
    assert len(tracker._crashes) == crashes.MAX_CRASHES
    assert all(
        len(c.silent_traits) <= crashes.MAX_TRAITS_PER_CRASH
        for c in tracker._crashes.values()
    )
    limit = crashes.MAX_CRASHES * crashes.MAX_TRAITS_PER_CRASH
    assert len(tracker._own_completions) <= limit
    earlier = tracker._earlier_completions
    assert len(earlier._counts) <= crashes.MAX_COMPLETED_TRAITS
    assert len(tracker.completions()) <= crashes.MAX_REPORTED_TRAITS


def test_report_of_an_older_release_is_counted(world):
    """It names the fingerprint of one request only."""
    for number in range(crashes.MIN_CRASHES):
        world.now_s += 2.0
        world.nodes[0].record(node_messages.CrashNote(7, f's{number}', 1))
    world.now_s += 2.0
    assert world.nodes[0].barred([7])


@pytest.mark.parametrize('seed', range(20))
def test_deadly_part_is_found_among_popular_prompts(seed):
    """One request in twenty is deadly; each crash cuts all on its server."""
    rng = random.Random(seed)
    world = World(node_count=1)
    tracker = world.nodes[0]
    prompts = range(1000, 1030)
    running = [[] for _ in range(9)]
    fell = 0
    sent_after = 0
    for step in range(1500):
        world.now_s += 0.02
        sent_prompt = rng.choice(prompts)
        deadly = rng.random() < 0.02
        traits = [step + 10_000, sent_prompt] + [DEADLY] * deadly
        if tracker.barred(traits) is not None:
            assert deadly
            continue
        sent_after += deadly and fell >= 5
        server = rng.randrange(9)
        running[server].append((step, traits, deadly))
        for number, requests in enumerate(running):
            begun = [r for r in requests if step - r[0] >= 5]
            if any(r[2] for r in begun):
                fell += 1
                world.crash(
                    *(t for r in requests if step - r[0] < 8 for t in r[1]),
                    gap_s=0.0,
                )
                running[number] = []
                continue
            for request in [r for r in requests if step - r[0] >= 100]:
                tracker.record_completion(request[1])
                requests.remove(request)
    assert 3 <= fell <= 8
    assert sent_after <= 3


def test_prompt_of_a_restarted_node_is_not_barred_for_lack_of_completions(
    world,
):
    """DENIED: crashes were known after a restart, completions were not."""
    for number in range(8):
        world.complete(SHARED, times=2)
        world.crash(100 + number, SHARED, DEADLY)
    known = world.nodes[0]
    restarted = crashes.CrashTracker(lambda: world.now_s, 'n9')
    for note in known.notes():
        restarted.record(note)
    world.now_s += SETTLED_S
    assert restarted.barred([SHARED]) is None
    assert restarted.barred([DEADLY]) is not None


def test_crash_that_is_reported_late_is_not_judged_at_once(world):
    """DENIED: a silent server counts as crashed only when it restarts.

    Its crash was old by then, and was judged before other nodes had reported
    what completed meanwhile.
    """
    world.complete(SHARED, times=8)
    world.now_s += 10.0
    for number in range(3):
        note = node_messages.CrashNote(
            0, f's{number}', 1, 3000 + 500 * number, [SHARED]
        )
        for node in world.nodes:
            node.record(note)
    assert all(node.barred([SHARED]) is None for node in world.nodes)
    world.now_s += 0.75
    world.exchange()
    assert not world.barred(SHARED)


def test_completions_are_kept_while_reports_of_a_crash_arrive(world):
    """DENIED: the first report named only requests with output.

    They were suspected until a report of a request without output came, and
    their completions were forgotten then. At the next crash, none were known.
    """
    world.complete(SHARED, times=8)
    for silent, others in [([], [SHARED]), ([RARE], [])]:
        note = node_messages.CrashNote(0, 'first', 1, 0, silent, others)
        for node in world.nodes:
            node.record(note)
    for number in range(3):
        world.crash(100 + number, SHARED)
    assert not world.barred(SHARED)


def test_several_crashes_are_judged_once_completions_are_known(world):
    """DENIED: four servers crashed within 0.6 s, with the same prompts.

    Each node knows the completions of its own requests at first.
    """
    world.complete(SHARED, times=12)
    for _ in range(4):
        world.now_s += 0.21
        world.servers += 1
        for node in world.nodes:
            node.record(
                node_messages.CrashNote(0, f's{world.servers}', 1, 0, [SHARED])
            )
    assert all(node.barred([SHARED]) is None for node in world.nodes)
    world.now_s += 0.75
    world.exchange()
    assert not world.barred(SHARED)
