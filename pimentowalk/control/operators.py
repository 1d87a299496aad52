"""Tokens of the operators who may publish and give orders."""

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
    """Map tokens to operator names; without operators, refuse all."""

    def __init__(self, hashes=None):
        self._hashes = dict(hashes or {})

    def authenticate(self, token):
        """Return the operator's name; raise an `unauthorized` error."""
        presented = hash_token(token)
        found = None
        # Every hash is compared, so that the duration tells nothing.
        for name, expected in self._hashes.items():
            if hmac.compare_digest(presented, expected):
                found = name
        if found is None:
            raise errors.PimentowalkError(
                'this token belongs to no operator',
                code='unauthorized',
                step='authenticate',
            )
        return found


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
    # The value is not shown: it may be a token entered by mistake.
    wrong = [n for n, value in hashes.items() if not SHA256.fullmatch(value)]
    if wrong:
        raise errors.SettingsError(
            f'{path}: not a SHA-256 in lower case: {", ".join(sorted(wrong))}'
        )
    return Operators(hashes)
