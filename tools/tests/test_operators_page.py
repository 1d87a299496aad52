"""Run the commands of the page for operators against real processes."""

import contextlib
import os
import pathlib
import re
import signal
import subprocess
import sys

import attrs
import pytest

from pimentowalk.cli import main
from pimentowalk.core import errors
from tools import deployment as deployments

pytestmark = pytest.mark.processes
PAGE = deployments.ROOT / 'docs' / 'operators.md'
PREPARE = ('Start the trial deployment', 'First start and first publish')
SECTIONS = (
    *PREPARE,
    'Publish conflict',
    'Add a backend server',
    'Drain and remove a backend server',
    'Orders',
    'Replace a control instance that lost its disk',
    'Audit',
)
BLOCK = re.compile(
    r'^```sh\n(.*?)^```\n(?:```text\n(.*?)^```\n)?', re.M | re.S
)
MARK = '== section '
# Bounds a test that hangs; no result depends on it.
TIMEOUT_S = 240


@attrs.frozen
class Section:
    """The commands of a section and what the page says they print."""

    name: str
    commands: str
    expected: list[str]


def read_sections():
    """Return the sections of the page that have commands, by name."""
    found = {}
    for text in PAGE.read_text().split('\n## ')[1:]:
        name, _, body = text.partition('\n')
        blocks = BLOCK.findall(body)
        if blocks:
            commands = ''.join(block[0] for block in blocks)
            expected = ''.join(block[1] for block in blocks).splitlines()
            found[name] = Section(name, commands, expected)
    return found


def missing_lines(expected, output):
    """Return the expected lines that do not follow in order.

    `...` stands for any text within a line, and blanks for blanks of any
    length.

    >>> missing_lines(['b ... d', 'a'], 'a\\nb  c  d\\n')
    ['a']
    """
    lines = iter([' '.join(line.split()) for line in output.splitlines()])
    missing = []
    for line in expected:
        parts = [' '.join(part.split()) for part in line.split('...')]
        pattern = re.compile('.*'.join(map(re.escape, parts)))
        if not any(pattern.search(seen) for seen in lines):
            missing.append(line)
    return missing


def run_commands(site, sections):
    """Run sections in one shell and return what each one printed."""
    script = [f'. {site}/env', 'set -eu']
    for section in sections:
        script += [f'echo; echo "{MARK}{section.name}"', section.commands]
    script.append(f'echo "{MARK}end"')
    shell = subprocess.Popen(
        ['bash', '-c', '\n'.join(script)],
        cwd=deployments.ROOT,
        env={**os.environ, 'PYTHONPATH': str(deployments.ROOT)},
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    try:
        output, _ = shell.communicate(timeout=TIMEOUT_S)
    except subprocess.TimeoutExpired:
        shell.kill()
        output, _ = shell.communicate()
    parts = [part.partition('\n') for part in output.split(MARK)[1:]]
    return {name: text for name, _, text in parts}, output


def stop_started(site):
    """End the processes whose ids the page's commands have written."""
    for path in site.glob('*.pid'):
        pid = int(path.read_text())
        command = pathlib.Path('/proc') / str(pid) / 'cmdline'
        # The id of an ended process may belong to another one by now.
        with contextlib.suppress(OSError):
            if str(site).encode() in command.read_bytes():
                os.kill(pid, signal.SIGKILL)


@pytest.fixture
def site(tmp_path):
    """Start the trial deployment of the page and end all its processes."""
    folder = tmp_path / 'site'
    trial = subprocess.Popen(
        [sys.executable, '-m', 'tools.trial', 'start', str(folder)],
        cwd=deployments.ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert trial.stdout.readline().startswith('started')
        yield folder
    finally:
        trial.terminate()
        trial.communicate()
        stop_started(folder)


def check(site, names):
    """Run sections of the page and compare what they print."""
    page = read_sections()
    sections = [page[name] for name in names]
    printed, output = run_commands(site, sections)
    for section in sections:
        text = printed.get(section.name, '')
        missing = missing_lines(section.expected, text)
        assert not missing, f'{section.name}: {missing}\n{output}'
    assert 'end' in printed, output


def test_commands_do_what_the_page_says(site):
    """An operator who follows a page that has drifted makes faults worse."""
    check(site, SECTIONS)


def test_commands_of_the_page_exist():
    """A command that the program does not have stops its reader."""
    text = ''.join(one.commands for one in read_sections().values())
    used = set(re.findall(r'\bpimentowalk ([a-z]+)', text))
    assert used <= set(main.COMMANDS)
    assert {'publish', 'drain', 'members', 'quarantine', 'audit'} <= used


def table_after(heading):
    """Return the first cells of the first table below a line."""
    rows = PAGE.read_text().split(heading)[1].split('\n\n')[0]
    return [line.split('|')[1] for line in rows.splitlines()]


def test_every_error_code_is_explained():
    """An operator must not meet a code that the page leaves out."""
    cells = ''.join(table_after('For operators they mean:\n\n'))
    assert sorted(re.findall(r'`(\w+)`', cells)) == sorted(errors.CODES)


def test_named_log_lines_and_metrics_exist():
    """An alarm on a renamed log line or metric never goes off."""
    folder = deployments.ROOT / 'pimentowalk'
    source = ''.join(
        path.read_text()
        for path in folder.rglob('*.py')
        if 'tests' not in path.parts
    )
    lines = re.findall('`([^`]+)`', ''.join(table_after('\n\n| log line')))
    names = re.findall('`([^`]+)`', ''.join(table_after('\n\n| metric of')))
    assert len(lines) > 15
    assert len(names) > 5
    for line in lines:
        assert line.removesuffix(': ...') in source, line
    for name in names:
        stem = re.sub('_total$|_seconds$|CODE_total$', '', name)
        assert stem in source, name
