"""Authentication of operators by token."""

import configparser
import hashlib
import hmac
import os
import re
import stat

from pimentowalk.core import errors

SHA256 = re.compile(r'[0-9a-f]{64}')


def hash_token(token):
    """Return the hexadecimal SHA-256 of a token."""
    return hashlib.sha256(token.encode()).hexdigest()


class Operators:
    """Map token hashes to operator names; with no operators, refuse all."""

    def __init__(self, hashes=None):
        self._hashes = dict(hashes or {})

    def authenticate(self, token):
        """Return the operator's name; raise `unauthorized`."""
        presented_hash = hash_token(token)
        matching_name = None
        # All hashes are compared, so that timing reveals nothing.
        for name, expected in self._hashes.items():
            if hmac.compare_digest(presented_hash, expected):
                matching_name = name
        if matching_name is None:
            raise errors.PimentowalkError(
                'the token belongs to no operator',
                code='unauthorized',
                step='authenticate',
            )
        return matching_name


def load(path):
    """Read operators from `[operators]` with lines `NAME = SHA256`.

    Raises SettingsError if others can read the file or a hash is wrong.
    """
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str
    try:
        with open(path) as file:
            mode = os.fstat(file.fileno()).st_mode
            parser.read_file(file)
    except (OSError, configparser.Error, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f'{path}: cannot read the operators: {type(error).__name__}'
        ) from None
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise errors.SettingsError(
            f'{path}: others have access; run chmod 600'
        )
    if not parser.has_section('operators'):
        raise errors.SettingsError(f'{path}: no section [operators]')
    hashes = dict(parser.items('operators'))
    # The error omits the value: it may be a token entered by mistake.
    malformed = [
        n for n, value in hashes.items() if not SHA256.fullmatch(value)
    ]
    if malformed:
        raise errors.SettingsError(
            f'{path}: not a SHA-256 in lower case: '
            f'{", ".join(sorted(malformed))}'
        )
    return Operators(hashes)
