"""Parsers that convert the text of a setting to its value.

Each parser raises ValueError with a reason that is shown to the operator.
"""

import ipaddress
import re
import unicodedata
import urllib.parse

NAME = re.compile(r'\w[\w.-]{0,63}')
NUMBER = re.compile(r'[+-]?[0-9]+(\.[0-9]+)?')
NUMBER_WITH_UNIT = re.compile(r'([+-]?[0-9]+(?:\.[0-9]+)?)\s*([^0-9.\s]+)')
SHA256 = re.compile(r'[0-9a-f]{64}')
LOG_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')
MAX_PORT = 65535


def name(text):
    """Return the normalized name of a node, zone, service or account.

    >>> name('Førde')
    'Førde'
    """
    # The same accented letter may be composed or decomposed, depending on the
    # system on which a file was written.
    normalized = unicodedata.normalize('NFC', text)
    if not NAME.fullmatch(normalized):
        raise ValueError(
            f'{text!r} is not a name: 1 to 64 letters, digits, "_", "." '
            f'and "-", the first a letter, digit or "_"'
        )
    return normalized


def optional(parser):
    """Return a parser that also accepts the empty text."""
    return lambda text: parser(text) if text else ''


def _check_number(text, unit):
    if NUMBER.fullmatch(text):
        return
    match = NUMBER_WITH_UNIT.fullmatch(text)
    expected = f'a plain number of {unit}' if unit else 'a plain number'
    if match:
        raise ValueError(
            f'{text!r} has a unit {match[2]!r}; expected {expected}, '
            f'such as {match[1]}'
        )
    raise ValueError(f'{text!r} is not {expected}')


def number(minimum, maximum, unit=''):
    """Return a parser of decimal numbers in [minimum, maximum].

    >>> number(0, 60, 'seconds')('1.5')
    1.5
    """

    def parse(text):
        _check_number(text, unit)
        value = float(text)
        if not minimum <= value <= maximum:
            raise ValueError(f'{text} is not between {minimum} and {maximum}')
        return value

    return parse


def integer(minimum, maximum, unit=''):
    """Return a parser of whole numbers in [minimum, maximum]."""

    def parse(text):
        _check_number(text, unit)
        # Check the range with float() first: int() rejects very long digit
        # strings with an error of its own.
        if '.' in text:
            raise ValueError(f'{text} is not a whole number')
        if not minimum <= float(text) <= maximum:
            raise ValueError(f'{text} is not between {minimum} and {maximum}')
        return int(text)

    return parse


def choice(names):
    """Return a parser that accepts only the given names."""

    def parse(text):
        if text not in names:
            known = ', '.join(sorted(names))
            raise ValueError(f'unknown name {text!r}; known: {known}')
        return text

    return parse


def list_of(parser):
    """Return a parser of comma-separated lists without duplicates."""

    def parse(text):
        items = [item.strip() for item in text.split(',')]
        values = [parser(item) for item in items if item]
        for position, value in enumerate(values):
            if value in values[:position]:
                raise ValueError(f'{value!r} is listed twice')
        return values

    return parse


def listen_ip(text):
    """Return a numeric IP address to listen on."""
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        raise ValueError(f'{text!r} is not a numeric IP address') from None


def ip(text):
    """Return a numeric IP address that peers can connect to."""
    address = listen_ip(text)
    if ipaddress.ip_address(address).is_unspecified:
        raise ValueError(
            f'{text!r} is not an address that peers can connect to'
        )
    return address


def http_url(text):
    """Return an HTTP URL whose host is a numeric IP address."""
    try:
        parts = urllib.parse.urlsplit(text)
        port = parts.port
    except ValueError as error:
        raise ValueError(f'{text!r} is not a URL: {error}') from None
    if parts.scheme != 'http' or not parts.hostname or port == 0:
        raise ValueError(f'{text!r} is not a URL like http://127.0.0.1:8000')
    ip(parts.hostname)
    if parts.query or parts.fragment or parts.username is not None:
        raise ValueError(
            f'{text!r} has parts other than an address and a path'
        )
    return text.rstrip('/')


def path_prefix(text):
    """Return a URL path prefix such as `/bookings`."""
    parts = text.split('/')
    if not text.startswith('/') or not text.isascii():
        raise ValueError(f'{text!r} is not a path such as /bookings')
    if (
        any(character in text for character in '?#% \t\n')
        or not text.isprintable()
    ):
        raise ValueError(f'{text!r} has characters that are not allowed')
    if '' in parts[1:-1] or '.' in parts or '..' in parts:
        raise ValueError(f'{text!r} is not in its shortest form')
    return text


def sha256_hex(text):
    """Return a SHA-256 digest in lower-case hexadecimal digits."""
    if not SHA256.fullmatch(text):
        raise ValueError('is not a SHA-256 of 64 lower-case hex digits')
    return text


def http_method(text):
    """Return the name of an HTTP method."""
    if not (text.isascii() and text.isalpha() and text.isupper()):
        raise ValueError(f'{text!r} is not an HTTP method such as POST')
    return text
