"""The program `pimentowalk` for operators."""

import contextlib
import enum
import os
import sys

import defopt

from pimentowalk.cli import administration
from pimentowalk.cli import gateways
from pimentowalk.cli import inspection
from pimentowalk.cli import orders
from pimentowalk.cli import output
from pimentowalk.cli import publishing
from pimentowalk.core import errors


class ExitStatus(enum.IntEnum):
    """Exit statuses of the program."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    OUTCOME_UNKNOWN = 3


EXIT_STATUS_BY_CODE = {
    'bad_request': ExitStatus.BAD_INPUT,
    'bad_settings': ExitStatus.BAD_INPUT,
    'outcome_unknown': ExitStatus.OUTCOME_UNKNOWN,
}
COMMANDS = {
    'check': publishing.check,
    'publish': publishing.publish,
    'status': inspection.status,
    'audit': inspection.audit,
    'accounts': inspection.accounts,
    'servers': inspection.servers,
    'gateway': gateways.gateway,
    'drain': orders.drain,
    'order': orders.order,
    'members': {
        'list': administration.list_members,
        'add-learner': administration.add_learner,
        'promote': administration.promote,
        'remove': administration.remove,
    },
    'quarantine': {
        'list': administration.list_quarantine,
        'clear': administration.clear_quarantine,
    },
}
DESCRIPTION = (
    'Operate a pimentowalk deployment. Exit status: 0 done; 1 refused or '
    'failed; 2 bad input; 3 outcome unknown, repeat the '
    'command with the printed change id.'
)


def run(argv=None):
    """Run one command and return its exit status."""
    argv = sys.argv[1:] if argv is None else argv
    try:
        defopt.run(
            COMMANDS,
            argv=argv,
            short={},
            cli_options='kwonly',
            no_negated_flags=True,
            argparse_kwargs={
                'prog': 'pimentowalk',
                'description': DESCRIPTION,
            },
        )
    except errors.PimentowalkError as error:
        with contextlib.suppress(BrokenPipeError):
            _show_error(error, as_json='--json' in argv)
        return EXIT_STATUS_BY_CODE.get(error.code, ExitStatus.REFUSED)
    except BrokenPipeError:
        # Commands print only after their work is done, so a reader that
        # exits early, such as `head`, does not change the exit status.
        pass
    return ExitStatus.DONE


def _show_error(error, *, as_json):
    if not as_json:
        message = error.message
        if not hasattr(error, 'problems'):
            message = f'pimentowalk: {error}'
        print(message, file=sys.stderr)
        return
    content = {
        'code': error.code,
        'message': error.message,
        'step': error.step,
        'peer': error.peer,
    }
    result = {'error': content}
    if hasattr(error, 'problems'):
        result['problems'] = error.problems
    output.show_json(result)


def main():
    """Run the program and exit with its status."""
    status = run()
    try:
        sys.stdout.flush()
    except BrokenPipeError:
        # The interpreter flushes stdout again at exit and would report the
        # error then.
        null_fd = os.open(os.devnull, os.O_WRONLY)
        os.dup2(null_fd, sys.stdout.fileno())
    sys.exit(status)


if __name__ == '__main__':
    main()
