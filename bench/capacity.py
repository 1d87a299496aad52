"""Recompute the tables of docs/CAPACITY.md from recorded slopes."""

import json
import pathlib
import re

from bench import common

ROOT = pathlib.Path(__file__).resolve().parent.parent
RESULTS = ROOT / 'bench' / 'results'
PAGE = ROOT / 'docs' / 'CAPACITY.md'
TABLE = re.compile(r'(<!-- table: (\w+) -->\n).*?(<!-- end -->)', re.DOTALL)

ENTRIES = 390
SERVERS = 4900
NODES = ENTRIES + SERVERS
CONTROLS = 8
STAGES = 4
REQUESTS_PER_S = 6000
TOKENS_PER_S = 1_300_000
ACCOUNTS = 11_000
MODELS = 25
CHANGES_PER_DAY = 10_000
CHANGE_BYTES = 500
ARRIVALS_PER_DAY = 65 + 720
DAY_S = 86_400
# Measured with heartbeats of 1 s; at full size nodes send one each 5 s.
HEARTBEAT_S = 5.0
RECORD_BYTES = 300
WATCHED_PER_RANGE = 16
BUDGET = {'share': 0.019, 'mb': 64.0, 'bytes_per_s': 7000.0}


def read(module):
    """Return the recorded lines of a measurement."""
    text = (RESULTS / f'{module}.jsonl').read_text()
    return [json.loads(line) for line in text.splitlines()]


def find(lines, **wanted):
    """Return the last line with these fields."""
    found = [
        line
        for line in lines
        if all(line.get(name) == value for name, value in wanted.items())
    ]
    return found[-1]


def node_rows():
    """Return what control costs an entry or an agent."""
    nodes = read('control_nodes')
    estimate = find(nodes, bench='control_nodes.estimate')
    memory = read('path')
    share = estimate['node_processor_share'] / HEARTBEAT_S
    bytes_per_s = estimate['node_bytes_per_s'] / HEARTBEAT_S
    changes_per_s = CHANGES_PER_DAY / DAY_S
    # Two control instances push each change to a node.
    bytes_per_s += 2 * changes_per_s * CHANGE_BYTES
    watched = MODELS * STAGES * WATCHED_PER_RANGE
    arrivals_per_s = ARRIVALS_PER_DAY / DAY_S
    seen = min(1.0, watched / SERVERS)
    view = 2 * 2 * arrivals_per_s * RECORD_BYTES * seen
    for role, extra in (('entry', view), ('agent', 0.0)):
        resident = max(
            line['resident_mb']
            for line in memory
            if line['bench'] == 'path.memory'
            and line['process'].startswith(role)
        )
        if role == 'entry':
            resident += watched * 2 * RECORD_BYTES / 1e6
        yield [
            role,
            f'{share:.3%}',
            f'{BUDGET["share"]:.1%}',
            f'{resident:.0f} MB',
            f'{BUDGET["mb"]:.0f} MB',
            f'{bytes_per_s + extra:.0f} B/s',
            f'{BUDGET["bytes_per_s"]:.0f} B/s',
        ]


def request_rows():
    """Return what requests and tokens cost an entry and an agent."""
    lines = read('path')
    streams = {
        'entry': (REQUESTS_PER_S / ENTRIES, TOKENS_PER_S / ENTRIES),
        # Each server of a chain of STAGES runs a step for every token.
        'agent': (
            REQUESTS_PER_S * STAGES / SERVERS,
            TOKENS_PER_S * STAGES / SERVERS,
        ),
    }
    for role, (requests, tokens) in streams.items():
        line = find(lines, bench='path.processor', daemon=role)
        busy = requests * line['request_us'] + tokens * line['token_us']
        yield [
            role,
            f'{requests:.1f}',
            f'{tokens:.0f}',
            f'{line["request_us"]:.0f} us',
            f'{line["token_us"]:.0f} us',
            f'{busy / 1e6:.2f} of a core',
        ]


def control_rows():
    """Return what one set-aside control instance needs."""
    nodes = read('control_nodes')
    estimate = find(nodes, bench='control_nodes.estimate')
    wire = find(read('wire'), bench='wire.connection')
    three = [
        line
        for line in nodes
        if line['bench'] == 'control_nodes' and line['controls'] == 3
    ]
    memory = common.fit(
        [line['nodes'] for line in three],
        [line['control_resident_bytes'] for line in three],
    )
    share = estimate['control_processor_share'] / HEARTBEAT_S
    pushes = 2 * NODES / CONTROLS * CHANGES_PER_DAY / DAY_S
    worst_s = max(line['accepted_to_in_force_worst_s'] for line in three)
    frozen_ms = max(
        find(read('control_log'), measure='leader_frozen')['waits_ms']
    )
    return [
        ['processor, heartbeats each 5 s', f'{share:.2f} of a core'],
        [
            'processor, heartbeats each 1 s',
            f'{share * HEARTBEAT_S:.2f} of a core',
        ],
        ['memory by the slope of nodes', f'{memory.at(NODES) / 1e6:.0f} MB'],
        [
            'memory of connections, one side',
            f'{wire["bytes_both_sides"] / 2 * NODES / 1e6:.0f} MB',
        ],
        ['pushes sent', f'{pushes:.0f} /s, {pushes * CHANGE_BYTES:.0f} B/s'],
        ['accepted to in force, 80 nodes, worst', f'{worst_s * 1000:.0f} ms'],
        ['time without a leader after a freeze, worst', f'{frozen_ms} ms'],
    ]


TABLES = {
    'node': (
        ['role', 'core', 'budget', 'memory', 'budget', 'traffic', 'budget'],
        node_rows,
    ),
    'request': (
        ['role', 'requests/s', 'tokens/s', 'a request', 'a token', 'busy'],
        request_rows,
    ),
    'control': (['what', 'at full size'], control_rows),
}


def table(name):
    """Return a table as Markdown."""
    header, rows = TABLES[name]
    lines = [header, ['---'] * len(header), *rows()]
    return ''.join(f'| {" | ".join(line)} |\n' for line in lines)


def render(text):
    """Return the page with its tables computed again."""
    return TABLE.sub(lambda match: match[1] + table(match[2]) + match[3], text)


def main():
    """Rewrite the tables of the page."""
    PAGE.write_text(render(PAGE.read_text()))


if __name__ == '__main__':
    main()
