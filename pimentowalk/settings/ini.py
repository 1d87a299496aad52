"""Read INI text and report every problem in it, not only the first."""

import configparser
import os
import pathlib

import attrs

# Settings are short files; the limit keeps a mistaken path harmless.
MAX_FILE_BYTES = 1 << 20
MAX_PROBLEMS = 100


@attrs.frozen
class Problem:
    """One fault of a settings file; `section` and `key` may be empty.

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
        place = f'{self.file}{separator}{section}{key}'
        return f'{place}{"" if key else ":"} {self.reason}'


@attrs.define
class Document:
    """The sections of one file and the problems found so far."""

    file: str
    sections: dict[str, dict[str, str]] = attrs.field(factory=dict)
    problems: list[Problem] = attrs.field(factory=list)

    def report(self, section, key, reason):
        """Add a problem."""
        self.problems.append(Problem(self.file, section, key, reason))


def read(path, *, private=False):
    """Return the document of a file; unreadable files are problems.

    With `private`, a file that its group or others may read is refused.
    """
    document = Document(str(path))
    try:
        with pathlib.Path(path).open('rb') as source:
            mode = os.fstat(source.fileno()).st_mode
            content = source.read(MAX_FILE_BYTES + 1)
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
    """Return the document of INI text.

    >>> document = parse('[process]\\nport = 1')
    >>> document.sections
    {'process': {'port': '1'}}
    """
    return _parse_into(Document(file), text)


def _parse_into(document, text):
    lines = text.replace('\r\n', '\n').split('\n')
    duplicates = set()
    # The parser stops at most faults, so the faulty lines are neutralised
    # and the text is parsed again until nothing new is found.
    while len(document.problems) < MAX_PROBLEMS:
        parser = _new_parser()
        try:
            parser.read_file(iter([f'{line}\n' for line in lines]))
        except configparser.DuplicateSectionError as error:
            document.report(error.section, '', _at('duplicate', error.lineno))
            name = f'{error.section}\0{error.lineno}'
            duplicates.add(name)
            lines[error.lineno - 1] = f'[{name}]'
        except configparser.DuplicateOptionError as error:
            section = error.section.partition('\0')[0]
            reason = _at('duplicate', error.lineno)
            document.report(section, error.option, reason)
            lines[error.lineno - 1] = ''
        except configparser.MissingSectionHeaderError as error:
            reason = 'text before the first section'
            document.report('', '', _at(reason, error.lineno))
            lines[error.lineno - 1] = ''
        except configparser.ParsingError as error:
            for number, _ in error.errors:
                reason = 'not a section, comment or "key = value"'
                document.report('', '', _at(reason, number))
                lines[number - 1] = ''
        else:
            break
    else:
        return document
    document.sections = {
        name: dict(parser.items(name))
        for name in parser.sections()
        if name not in duplicates
    }
    return document


def _new_parser():
    parser = configparser.ConfigParser(
        default_section='',
        delimiters=('=',),
        interpolation=None,
        strict=True,
    )
    # Keys are case-sensitive, as the names of attrs fields are.
    parser.optionxform = str
    return parser


def _at(reason, line_number):
    return f'{reason} (line {line_number})'


def build(cls, document, section, readers, **given):
    """Return an instance of an attrs class from a section, or None.

    `readers` maps each key to a function from text to a value that raises
    ValueError with the reason. Keys that have no default in the class and
    are not given are required. Problems are added to the document.
    """
    before = len(document.problems)
    values = dict(given)
    section_values = document.sections.get(section, {})
    for key in section_values:
        if key not in readers:
            known = ', '.join(sorted(readers))
            document.report(section, key, f'unknown key; known: {known}')
    for key, reader in readers.items():
        if key in section_values:
            try:
                values[key] = reader(section_values[key])
            except ValueError as error:
                document.report(section, key, str(error))
        elif key not in given and not _has_default(cls, key):
            document.report(section, key, 'is missing')
    if len(document.problems) > before:
        return None
    return cls(**values)


def _has_default(cls, key):
    return attrs.fields_dict(cls)[key].default is not attrs.NOTHING
