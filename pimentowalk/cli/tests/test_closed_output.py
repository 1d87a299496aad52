"""Test commands whose output pipe is closed early."""

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
def test_a_closed_output_pipe_causes_no_traceback(
    arguments, status, unbuffered
):
    """With `| head`, a completed change must not look like a failure."""
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
