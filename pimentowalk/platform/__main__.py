"""Run a gateway: `python3 -m pimentowalk.platform [SETTINGS]`."""

import asyncio
import os
import sys

import defopt

from pimentowalk.core import errors
from pimentowalk.platform import daemon

# The platform names the settings file here.
SETTINGS_VARIABLE = 'PIMENTOWALK_SETTINGS'


def run(settings_path: str = '', /):
    """Run a gateway.

    :param settings_path: INI file with sections [gateway] and [bounds];
        the platform's variable names it if it is left out
    """
    path = settings_path or os.environ.get(SETTINGS_VARIABLE, '')
    try:
        asyncio.run(daemon.serve(path))
    except (errors.PimentowalkError, OSError) as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == '__main__':
    sys.exit(defopt.run(run))
