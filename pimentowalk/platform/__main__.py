"""Run a gateway: `python3 -m pimentowalk.platform [SETTINGS]`."""

import asyncio
import os
import signal
import sys

from pimentowalk.core import errors
from pimentowalk.core import sockets
from pimentowalk.settings import gateway as gateway_settings

# The platform names the settings file here.
SETTINGS_VARIABLE = 'PIMENTOWALK_SETTINGS'
# A gateway speaks plain HTTP only, but aiohttp reads the certificate
# authorities of the system when it is imported: 0.1 s of each start.
CERTIFICATES_VARIABLE = 'SSL_CERT_FILE'


def run(settings_path: str = '', /):
    """Run a gateway.

    :param settings_path: INI file with sections [gateway] and [bounds];
        the platform's variable names it if it is left out
    """
    path = settings_path or os.environ.get(SETTINGS_VARIABLE, '')
    try:
        settings, bounds = gateway_settings.load(path)
        # Importing the libraries takes most of a start. Callers who connect
        # meanwhile wait for it, instead of being refused.
        listeners = sockets.ListenerSet(
            (settings.front, settings.ready, settings.control)
        )
        os.environ.setdefault(CERTIFICATES_VARIABLE, os.devnull)
        from pimentowalk.platform import daemon

        asyncio.run(daemon.serve(path, settings, bounds, listeners))
    except (errors.PimentowalkError, OSError) as error:
        print(error, file=sys.stderr)
        return 2
    return 0


def main():
    """Run a gateway as the command line says."""
    # Until the loop takes over, there is no request that a stop could cut.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    if len(sys.argv) == 1:
        return run()
    # The parser takes 0.1 s to import and the platform gives no arguments.
    import defopt

    return defopt.run(run)


if __name__ == '__main__':
    sys.exit(main())
