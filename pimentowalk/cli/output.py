"""Print results for people or as JSON."""

import json

import attrs


def plain(value):
    """Return a value of attrs classes as JSON data."""
    if attrs.has(type(value)):
        return attrs.asdict(value, value_serializer=_serialize)
    if isinstance(value, dict):
        return {key: plain(one) for key, one in value.items()}
    if isinstance(value, list | tuple):
        return [plain(one) for one in value]
    return _serialize(None, None, value)


def _serialize(instance, field, value):
    return value.hex() if isinstance(value, bytes) else value


def show_json(value):
    """Print one JSON document."""
    print(json.dumps(plain(value), ensure_ascii=False, indent=2))


def show_table(names, rows):
    """Print rows in aligned columns below their names.

    >>> show_table(['node', 'version'], [['entry-1', 3]])
    node     version
    entry-1  3
    """
    table = [list(map(str, row)) for row in [names, *rows]]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for row in table:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        print('  '.join(cells).rstrip())
