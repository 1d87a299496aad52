"""Guard commands whose output is read only in part."""

import os
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[3]


@pytest.mark.processes
@pytest.mark.parametrize('unbuffered', ['', '1'])
@pytest.mark.parametrize(
    ('arguments', 'status'),
    [(['check', 'examples/hjulverk'], 0), (['check', '--json'], 2)],
)
def test_a_reader_that_leaves_early_causes_no_traceback(
    arguments, status, unbuffered
):
    """With `| head`, a change that was done must not look like a fault."""
    reader, writer = os.pipe()
    os.close(reader)
    try:
        done = subprocess.run(
            [sys.executable, '-m', 'pimentowalk.cli.main', *arguments],
            cwd=ROOT,
            env={**os.environ, 'PYTHONUNBUFFERED': unbuffered},
            stdout=writer,
            stderr=subprocess.PIPE,
            text=True,
            check=False,
        )
    finally:
        os.close(writer)
    assert done.stderr == ''
    assert done.returncode == status
