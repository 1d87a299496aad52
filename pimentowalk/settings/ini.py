"""Parse INI text and collect all of its problems, not only the first."""

import configparser
import os
import pathlib

import attrs

# Settings files are short; the limit bounds memory if a path names another
# file by mistake.
MAX_FILE_BYTES = 1 << 20
MAX_PROBLEMS = 100


@attrs.frozen
class Problem:
    """Describe a problem of a file; `section` and `key` may be empty.

    >>> print(Problem('a.ini', 'process', 'port', 'is missing'))
    a.ini: [process] port: is missing
    """

    file: str
    section: str
    key: str
    reason: str

    def __str__(self):
        section = f' [{self.section}]' if self.section else ''
        key = f' {self.key}:' if self.key else ''
        separator = ':' if section or key else ''
        location = f'{self.file}{separator}{section}{key}'
        return f'{location}{"" if key else ":"} {self.reason}'


@attrs.define
class Document:
    """Hold the sections of a file and the problems found so far."""

    file: str
    sections: dict[str, dict[str, str]] = attrs.field(factory=dict)
    problems: list[Problem] = attrs.field(factory=list)

    def report(self, section, key, reason):
        """Add a problem."""
        self.problems.append(Problem(self.file, section, key, reason))


def read(path, *, private=False):
    """Parse a file; report as a problem that it cannot be read.

    With `private`, a file accessible by group or others is a problem.
    """
    document = Document(str(path))
    try:
        with pathlib.Path(path).open('rb') as stream:
            mode = os.fstat(stream.fileno()).st_mode
            content = stream.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, 'strerror', None) or str(error)
        document.report('', '', f'cannot be read: {reason}')
        return document
    if private and mode & 0o077:
        document.report('', '', 'must be unreadable for others (mode 0600)')
    if len(content) > MAX_FILE_BYTES:
        document.report('', '', f'is larger than {MAX_FILE_BYTES} bytes')
        return document
    try:
        text = content.decode('utf-8-sig')
    except UnicodeDecodeError as error:
        document.report('', '', f'is not UTF-8 text: {error.reason}')
        return document
    return _parse_into(document, text)


def parse(text, file=''):
    """Parse INI text.

    >>> document = parse('[process]\\nport = 1')
    >>> document.sections
    {'process': {'port': '1'}}
    """
    return _parse_into(Document(file), text)


def _parse_into(document, text):
    lines = text.replace('\r\n', '\n').split('\n')
    duplicates = set()
    # configparser stops at most errors, so invalid lines are replaced and
    # the text is parsed again until no further error occurs.
    while len(document.problems) < MAX_PROBLEMS:
        config_parser = _new_config_parser()
        try:
            config_parser.read_file(iter([f'{line}\n' for line in lines]))
        except configparser.DuplicateSectionError as error:
            document.report(
                error.section, '', _at_line('duplicate', error.lineno)
            )
            name = f'{error.section}\0{error.lineno}'
            duplicates.add(name)
            lines[error.lineno - 1] = f'[{name}]'
        except configparser.DuplicateOptionError as error:
            section = error.section.partition('\0')[0]
            reason = _at_line('duplicate', error.lineno)
            document.report(section, error.option, reason)
            lines[error.lineno - 1] = ''
        except configparser.MissingSectionHeaderError as error:
            reason = 'text before the first section'
            document.report('', '', _at_line(reason, error.lineno))
            lines[error.lineno - 1] = ''
        except configparser.ParsingError as error:
            for number, _ in error.errors:
                reason = 'not a section, comment or "key = value"'
                document.report('', '', _at_line(reason, number))
                lines[number - 1] = ''
        else:
            break
    else:
        return document
    document.sections = {
        name: dict(config_parser.items(name))
        for name in config_parser.sections()
        if name not in duplicates
    }
    return document


def _new_config_parser():
    config_parser = configparser.ConfigParser(
        default_section='',
        delimiters=('=',),
        interpolation=None,
        strict=True,
    )
    # Keys are the names of attrs fields, which are case-sensitive.
    config_parser.optionxform = str
    return config_parser


def _at_line(reason, line_number):
    return f'{reason} (line {line_number})'


def build(cls, document, section, parsers, *, former_names=None, **given):
    """Return an instance of an attrs class from a section, or None.

    `parsers` maps each key to a function that converts text to a value or
    raises ValueError with the reason; `former_names` maps names that are
    still accepted to the key that replaces them and a parser. Keys without a
    default in the class that are not in `given` are required. Problems are
    added to the document.
    """
    problems_before = len(document.problems)
    values = dict(given)
    former_names = former_names or {}
    section_values = document.sections.get(section, {})
    for name, text in section_values.items():
        key, parse_value = former_names.get(name, (name, parsers.get(name)))
        if parse_value is None:
            known = ', '.join(sorted(parsers))
            document.report(section, name, f'unknown key; known: {known}')
            continue
        if key != name and key in section_values:
            document.report(section, name, f'is the former name of {key}')
            continue
        try:
            values[key] = parse_value(text)
        except ValueError as error:
            document.report(section, name, str(error))
    for key in parsers:
        is_set = key in values or key in section_values
        if not is_set and not _has_default(cls, key):
            document.report(section, key, 'is missing')
    if len(document.problems) > problems_before:
        return None
    return cls(**values)


def _has_default(cls, key):
    return attrs.fields_dict(cls)[key].default is not attrs.NOTHING
