"""Options that all commands share."""

import functools
import inspect

import attrs

TIMEOUT_S = 10.0
SHARED_OPTIONS = {
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
    """Hold the values of the shared options."""

    operator_file: str = ''
    timeout_s: float = TIMEOUT_S
    json: bool = False


def with_shared_options(command):
    """Add the shared options to a command, passed to it as `options`."""
    signature = inspect.signature(command)
    own_parameters = [
        parameter
        for parameter in signature.parameters.values()
        if parameter.name != 'options'
    ]
    added_parameters = [
        inspect.Parameter(
            name,
            inspect.Parameter.KEYWORD_ONLY,
            default=default,
            annotation=value_type,
        )
        for name, (value_type, default, _) in SHARED_OPTIONS.items()
    ]

    @functools.wraps(command)
    def run(*args, **kwargs):
        values = {
            name: kwargs.pop(name) for name in SHARED_OPTIONS if name in kwargs
        }
        return command(*args, options=Options(**values), **kwargs)

    del run.__wrapped__
    parameters = own_parameters + added_parameters
    run.__signature__ = signature.replace(parameters=parameters)
    run.__annotations__ = {p.name: p.annotation for p in parameters}
    run.__doc__ = _add_option_descriptions(command.__doc__)
    return run


def _add_option_descriptions(docstring):
    lines = inspect.cleandoc(docstring).split('\n')
    if not any(line.startswith(':param') for line in lines):
        lines.append('')
    lines += [
        f':param {name}: {description}'
        for name, (_, _, description) in SHARED_OPTIONS.items()
    ]
    return '\n'.join(lines)
