"""Options that several commands share."""

import functools
import inspect

import attrs

TIMEOUT_S = 10.0
SHARED = {
    'operator_file': (
        str,
        '',
        'INI file with [operator] name, token, control; mode 0600; default '
        'is $PIMENTOWALK_OPERATOR_FILE',
    ),
    'timeout_s': (float, TIMEOUT_S, 'seconds to wait for an answer'),
    'json': (bool, False, 'print one JSON document'),
}


@attrs.frozen
class Options:
    """The values of the shared options."""

    operator_file: str = ''
    timeout_s: float = TIMEOUT_S
    json: bool = False


def shared(command):
    """Give a command the shared options; it gets them as `options`."""
    signature = inspect.signature(command)
    own = [
        parameter
        for parameter in signature.parameters.values()
        if parameter.name != 'options'
    ]
    added = [
        inspect.Parameter(
            name, inspect.Parameter.KEYWORD_ONLY, default=value, annotation=cls
        )
        for name, (cls, value, _) in SHARED.items()
    ]

    @functools.wraps(command)
    def run(*args, **kwargs):
        values = {name: kwargs.pop(name) for name in SHARED if name in kwargs}
        return command(*args, options=Options(**values), **kwargs)

    del run.__wrapped__
    parameters = own + added
    run.__signature__ = signature.replace(parameters=parameters)
    run.__annotations__ = {p.name: p.annotation for p in parameters}
    run.__doc__ = _documented(command.__doc__)
    return run


def _documented(text):
    lines = inspect.cleandoc(text).split('\n')
    if not any(line.startswith(':param') for line in lines):
        lines.append('')
    lines += [
        f':param {name}: {text}' for name, (_, _, text) in SHARED.items()
    ]
    return '\n'.join(lines)
