"""Print results as tables or as JSON."""

import json

import attrs


def to_json_data(value):
    """Convert a value, which may contain attrs instances, to JSON data."""
    if attrs.has(type(value)):
        return attrs.asdict(value, value_serializer=_serialize)
    if isinstance(value, dict):
        return {key: to_json_data(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [to_json_data(item) for item in value]
    return _serialize(None, None, value)


def _serialize(instance, field, value):
    return value.hex() if isinstance(value, bytes) else value


def show_json(value):
    """Print one JSON document."""
    print(json.dumps(to_json_data(value), ensure_ascii=False, indent=2))


def show_table(columns, rows):
    """Print rows in aligned columns below the column names.

    >>> show_table(['node', 'version'], [['entry-1', 3]])
    node     version
    entry-1  3
    """
    table = [list(map(str, row)) for row in [columns, *rows]]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for row in table:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        print('  '.join(cells).rstrip())
