"""Run a whole deployment on loopback and check every answer."""

import asyncio
import configparser
import json
import pathlib
import random
import subprocess
import sys
import tempfile

import attrs
import defopt

from bench import common
from tools import demo_keys
from tools import deployment as deployments
from tools import load
from tools import standin_model

EXAMPLE = 'hjulverk'
ZONES = ('bergen', 'førde', 'voss')
MODEL = 'skrivar'
BOOKING_PATH = '/bookings'
SEED = 20261204
REQUESTS = 200
BOOKINGS = 20
MAX_ATTEMPTS = 40
OPERATOR_TOKEN = 'demo-operator-token'
PERCENTILES = (50, 95, 99)


@attrs.frozen
class Request:
    """One completion of the demo and who asks for it."""

    account: str
    body: dict


def read_example(name):
    """Return the INI files of an example as one parser."""
    parser = configparser.ConfigParser(interpolation=None)
    folder = deployments.ROOT / 'examples' / name
    parser.read(sorted(folder.glob('*.ini')))
    return parser


class Hjulverk(deployments.Deployment):
    """The example deployment with stand-in engines."""

    def __init__(self, folder, *, chains=2, stages=2, engine_options=()):
        super().__init__(folder)
        self.example = read_example(EXAMPLE)
        self.service = self.example[f'service {MODEL}']
        self.total_layers = int(self.service['total_layers'])
        self.chains = chains
        self.stages = stages
        self.engine_options = list(engine_options)
        self.entries = []
        self.engine_ports = {}
        self.record = self.folder / 'bookings.jsonl'

    def start(self, entries=2):
        """Start every process."""
        self.start_controls(ZONES, self.write_operators())
        for number in range(1, entries + 1):
            zone = ZONES[number % len(ZONES)]
            port = self.start_entry(f'entry-{number}', zone)
            self.entries.append(f'http://{deployments.LOOPBACK}:{port}')
        for chain in range(1, self.chains + 1):
            for stage in range(self.stages):
                self.start_stage(chain, stage)
        self.start_bookings()

    def write_operators(self):
        """Write the operators of control and the operator's own file."""
        hashed = demo_keys.key_sha256(OPERATOR_TOKEN)
        path = self.write_settings(
            'operators', {'operators': {'demo': hashed}}
        )
        path.chmod(0o600)
        return path

    @property
    def operator_file(self):
        """Return the file with which the demo publishes."""
        path = self.write_settings(
            'operator',
            {
                'operator': {
                    'name': 'demo',
                    'token': OPERATOR_TOKEN,
                    'control': self.control_addresses,
                }
            },
        )
        path.chmod(0o600)
        return path

    def start_stage(self, chain, stage):
        """Start an engine with its layers and the agent beside it."""
        share = self.total_layers // self.stages
        first = stage * share
        last = stage == self.stages - 1
        end = self.total_layers if last else first + share
        name = f'{MODEL}-{chain}-{stage}'
        port = self.engine_ports.setdefault(name, deployments.free_port())
        options = {
            '--port': port,
            '--model': self.service['model'],
            '--version': self.service['version'],
            '--first-layer': first,
            '--end-layer': end,
            '--total-layers': self.total_layers,
            '--record-file': self.folder / f'{name}.record',
        }
        words = [word for pair in options.items() for word in pair]
        self.run(
            f'engine-{name}',
            'tools.standin_engine',
            *words,
            *self.engine_options,
        )
        zone = ZONES[chain % len(ZONES)]
        self.start_agent(f'agent-{name}', zone, MODEL, 'stage', port)

    def start_bookings(self):
        """Start the plain service and its agent."""
        port = deployments.free_port()
        self.run(
            'verkstad',
            'tools.standin_service',
            '--port',
            port,
            '--delay-s',
            0.01,
            '--record-file',
            self.record,
        )
        self.start_agent('agent-verkstad', ZONES[0], 'verkstad', 'plain', port)

    def operate(self, *arguments):
        """Run the operators' program and return what it printed."""
        done = subprocess.run(
            [
                sys.executable,
                '-m',
                'pimentowalk.cli.main',
                *map(str, arguments),
                '--operator-file',
                str(self.operator_file),
            ],
            cwd=deployments.ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        if done.returncode:
            raise RuntimeError(f'{arguments}: {done.stdout}{done.stderr}')
        return done.stdout

    async def publish(self):
        """Publish the example once a leader has been elected."""

        def attempt():
            try:
                return self.operate('publish', f'examples/{EXAMPLE}')
            except RuntimeError as error:
                common.note(str(error).strip())
                return ''

        return await deployments.wait_until(attempt, what='the publish')

    async def ready(self, session, plain=1):
        """Wait until every entry can reach every backend server."""
        wanted = self.chains * self.stages + plain

        async def all_ready():
            for url in self.entries:
                status, _ = await load.fetch(session, f'{url}/readyz')
                if status != 200:
                    return False
            servers = json.loads(self.operate('servers', '--json'))
            return len(servers['servers']) >= wanted

        await deployments.wait_until(all_ready, what='readiness')

    def key(self, account):
        """Return the caller's key of an account of the example."""
        return demo_keys.demo_key(EXAMPLE, account)

    def accounts(self, service):
        """Return the accounts that may use a service."""
        return [
            section.split()[1]
            for section in self.example.sections()
            if section.startswith('account ')
            and service
            in self.example[section].get('services', service).split(', ')
        ]

    def reference(self, body):
        """Return the text that one process with the whole model gives."""
        weights = standin_model.Weights(
            self.service['model'], self.service['version']
        )
        return standin_model.reference_text(
            weights,
            self.total_layers,
            body['prompt'],
            max_tokens=body['max_tokens'],
            seed=body['seed'],
            temperature=body['temperature'],
        )


def make_requests(accounts, count, seed=SEED):
    """Return requests of mixed length; one in ten is long."""
    random_source = random.Random(seed)
    words = ('tyre', 'valve', 'rim', 'tube', 'patch', 'brake', 'axle')
    found = []
    for number in range(count):
        long = number % 10 == 0
        length = random_source.randint(5, 60)
        body = {
            'model': MODEL,
            'prompt': ' '.join(random_source.choices(words, k=length)),
            'max_tokens': 200 if long else random_source.randint(5, 40),
            'seed': random_source.randint(1, 1 << 30),
            'temperature': random_source.choice([0.0, 0.8]),
        }
        found.append(Request(accounts[number % len(accounts)], body))
    return found


async def complete_with_retries(session, url, key, body):
    """Send a completion again while it is refused as not run."""
    for attempt in range(MAX_ATTEMPTS):
        outcome = await load.complete(session, url, key, body)
        if outcome.complete or not outcome.not_run:
            return outcome
        await asyncio.sleep(0.1 * (attempt + 1))
    return outcome


async def run_completions(demo, session, requests):
    """Send all requests at once over the entries in turn."""
    return await load.run_all(
        complete_with_retries(
            session,
            demo.entries[number % len(demo.entries)],
            demo.key(request.account),
            request.body,
        )
        for number, request in enumerate(requests)
    )


async def book_with_retries(session, url, key, booking, idempotency_key):
    """Send a booking again while it is refused or still in progress."""
    for attempt in range(MAX_ATTEMPTS):
        outcome = await load.book(
            session, url, BOOKING_PATH, key, booking, idempotency_key
        )
        if outcome.complete or not (
            outcome.not_run or outcome.code == 'key_in_progress'
        ):
            return outcome
        await asyncio.sleep(0.1 * (attempt + 1))
    return outcome


async def run_bookings(demo, session, count):
    """Send each booking through every entry with the same key."""
    accounts = demo.accounts('verkstad')
    return await load.run_all(
        book_with_retries(
            session,
            url,
            demo.key(accounts[number % len(accounts)]),
            {'id': f'booking-{number}'},
            f'key-{number}',
        )
        for number in range(count)
        for url in demo.entries
    )


def count_runs(path):
    """Return how often each booking ran, by the service's own record."""
    runs = {}
    for line in path.read_text().splitlines():
        booking = json.loads(line)['id']
        runs[booking] = runs.get(booking, 0) + 1
    return runs


def summarize(demo, requests, outcomes, bookings):
    """Return the rows of the table and whether all is right."""
    wrong = [
        outcome
        for request, outcome in zip(requests, outcomes, strict=True)
        if not outcome.complete or outcome.text != demo.reference(request.body)
    ]
    for outcome in wrong[:5]:
        common.note(f'wrong: {outcome}')
    runs = count_runs(demo.record)
    twice = sum(1 for count in runs.values() if count > 1)
    failed = [outcome for outcome in bookings if not outcome.complete]
    for outcome in failed[:5]:
        common.note(f'booking failed: {outcome}')
    rows = [
        ('requests', len(outcomes)),
        ('wrong or incomplete answers', len(wrong)),
        ('bookings sent (each through every entry)', len(bookings)),
        ('bookings answered with an error', len(failed)),
        ('bookings that ran', len(runs)),
        ('bookings run more than once', twice),
    ]
    rows.extend(time_rows(outcomes))
    right = not wrong and not twice and not failed and len(runs) == BOOKINGS
    return rows, right


def time_rows(outcomes):
    """Return the rows with the times that callers saw."""
    first = [one.first_token_s for one in outcomes]
    gaps = [gap for one in outcomes for gap in one.gaps_s]
    for name, values in (('first token', first), ('between tokens', gaps)):
        times = [
            f'{common.percentile(values, percent) * 1000:.1f}'
            for percent in PERCENTILES
        ]
        yield f'{name} ms, p50/p95/p99', '/'.join(times)


async def run(folder):
    """Run the demo in a folder and return whether all was right."""
    with Hjulverk(folder) as demo:
        demo.start()
        common.note('started; publishing')
        await demo.publish()
        async with load.client_session() as session:
            await demo.ready(session)
            common.note('ready; sending requests')
            requests = make_requests(demo.accounts(MODEL), REQUESTS)
            outcomes, bookings = await asyncio.gather(
                run_completions(demo, session, requests),
                run_bookings(demo, session, BOOKINGS),
            )
        rows, right = summarize(demo, requests, outcomes, bookings)
    width = max(len(name) for name, _ in rows)
    for name, value in rows:
        print(f'{name:<{width}}  {value}')
    return right


def main(*, folder: str = ''):
    """Run a deployment on loopback and check every answer.

    :param folder: keep settings, logs and data in this folder
    """
    if folder:
        path = pathlib.Path(folder)
        path.mkdir(parents=True, exist_ok=True)
        return 0 if asyncio.run(run(path)) else 1
    with tempfile.TemporaryDirectory() as temporary:
        return 0 if asyncio.run(run(temporary)) else 1


if __name__ == '__main__':
    sys.exit(defopt.run(main))
