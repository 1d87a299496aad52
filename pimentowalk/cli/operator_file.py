"""Operator file with the name, token and control instances."""

import os

import attrs

from pimentowalk.core import errors
from pimentowalk.settings import daemon
from pimentowalk.settings import ini
from pimentowalk.settings import values
from pimentowalk.topology import instances

VARIABLE = 'PIMENTOWALK_OPERATOR_FILE'


@attrs.frozen
class Operator:
    """Hold the identity of an operator and the control instances."""

    name: str
    token: str = attrs.field(repr=False)
    control: list[instances.Instance]


def _token(text):
    # The error omits the text, which may be a secret.
    if not text or not text.isascii() or not text.isprintable():
        raise ValueError('is not a token of printable ASCII characters')
    return text


PARSERS = {
    'name': values.name,
    'token': _token,
    'control': daemon.control_instances,
}


def load(path=''):
    """Return the operator described by a file; raise SettingsError.

    Without a path, the environment variable VARIABLE names the file. A file
    that other users can read is refused.
    """
    path = path or os.environ.get(VARIABLE, '')
    if not path:
        raise errors.SettingsError(
            f'no operator file: use --operator-file or set {VARIABLE}',
            step='read operator file',
        )
    document = ini.read(path, private=True)
    for section in document.sections:
        if section != 'operator':
            document.report(section, '', 'unknown section; known: operator')
    operator = None
    if not document.problems or document.sections:
        operator = ini.build(Operator, document, 'operator', PARSERS)
    if document.problems:
        raise errors.SettingsError(
            '\n'.join(map(str, document.problems)), step='read operator file'
        )
    return operator
