"""Start a trial deployment on loopback for the page for operators.

The settings, the process ids (`NAME.pid`), the logs (`NAME.log`) and a file
`env` for the shell are kept in one folder, so that single processes can be
stopped and started by hand.
"""

import asyncio
import itertools
import pathlib
import shlex
import signal
import sys

import defopt

from tools import demo
from tools import deployment as deployments
from tools import load as load_client

# Slow enough for a planned stop to meet answers that are under way.
ENGINE_OPTIONS = ('--tokens-per-s', '2000', '--base-s', '0.004')
ENGINE_OPTIONS += ('--crash-marker', 'CRASH')
ACCOUNT = 'helse-vest'
POLL_S = 0.1
CALLERS = 8


def write_environment(site):
    """Write the shell variables that the page uses."""
    values = {
        'SITE': site.folder,
        'PIMENTOWALK_OPERATOR_FILE': site.operator_file,
        'CONTROL': site.control_addresses,
        'KEY': site.key(ACCOUNT),
        'NEW_ENGINE_PORT': deployments.free_port(),
    }
    for number, url in enumerate(site.entries, 1):
        values[f'ENTRY_{number}'] = url
    for node, port in site.control:
        name = node.upper().replace('-', '_')
        values[name] = f'{node}@{deployments.LOOPBACK}:{port}'
    lines = [f'export {n}={shlex.quote(str(v))}' for n, v in values.items()]
    (site.folder / 'env').write_text('\n'.join(lines) + '\n')


async def _run(folder):
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    options = {'chains': 3, 'engine_options': ENGINE_OPTIONS}
    with demo.Hjulverk(folder, **options) as site:
        site.start()
        for process in site.processes.values():
            path = site.folder / f'{process.name}.pid'
            path.write_text(f'{process.pid}\n')
        write_environment(site)
        print(f'started; run: . {site.folder}/env', flush=True)
        while not stop.is_set():
            # A process that the operator stopped stays visible to `kill -0`
            # until its parent has read its status.
            for process in site.processes.values():
                process.handle.poll()
            await asyncio.sleep(POLL_S)


def start(folder: str):
    """Start all processes; on SIGINT or SIGTERM stop those still running.

    :param folder: new folder for settings, process ids, logs and data
    """
    path = pathlib.Path(folder).absolute()
    path.mkdir(parents=True, exist_ok=True)
    asyncio.run(_run(path))


async def _call(session, urls, key, number, counts):
    """Send one request as a balancer does: elsewhere if it is refused."""
    body = demo.make_requests([ACCOUNT], 1, seed=number)[0].body
    for url in itertools.islice(itertools.cycle(urls), demo.MAX_ATTEMPTS):
        outcome = await load_client.complete(session, url, key, body)
        if outcome.complete:
            counts['complete'] += 1
            return
        refused = outcome.code.startswith('client:') and not outcome.text
        if not (outcome.not_run or (refused and not outcome.status)):
            break
        counts['sent again'] += 1
        await asyncio.sleep(POLL_S)
    counts['cut'] += 1
    print(f'cut: {outcome}', flush=True)


async def _load(urls, key):
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    counts = {'complete': 0, 'sent again': 0, 'cut': 0}
    numbers = itertools.count(1)

    async def caller(session):
        while not stop.is_set():
            number = next(numbers)
            turned = urls[number % len(urls) :] + urls[: number % len(urls)]
            await _call(session, turned, key, number, counts)

    async with load_client.client_session() as session:
        await asyncio.gather(*[caller(session) for _ in range(CALLERS)])
    print(', '.join(f'{name} {count}' for name, count in counts.items()))
    return 1 if counts['cut'] or not counts['complete'] else 0


def load(*urls: str, key: str):
    """Send completions until SIGTERM; exit with 1 if an answer was cut.

    :param urls: addresses of the entries
    :param key: key of the client account
    """
    return asyncio.run(_load(list(urls), key))


if __name__ == '__main__':
    sys.exit(defopt.run([start, load], short={}))
