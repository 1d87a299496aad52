"""Read the settings of a gateway, open its sockets and run it."""

import asyncio
import os
import sys

from pimentowalk.core import allocator
from pimentowalk.core import errors
from pimentowalk.core import sockets
from pimentowalk.settings import gateway as gateway_settings

# The environment variable in which the platform passes the settings path.
SETTINGS_VARIABLE = 'PIMENTOWALK_SETTINGS'
# A gateway uses plain HTTP only, but importing aiohttp loads the certificate
# authorities of the system, which takes 0.1 s of each start.
CERTIFICATES_VARIABLE = 'SSL_CERT_FILE'


def run(settings_path: str = '', /):
    """Run a gateway.

    :param settings_path: INI file with the section [gateway] and, if
        needed, [bounds], [clients], [responses] and [routing]; defaults to
        the path in PIMENTOWALK_SETTINGS
    """
    allocator.return_large_blocks()
    path = settings_path or os.environ.get(SETTINGS_VARIABLE, '')
    try:
        sections = gateway_settings.load(path)
        settings = sections[0]
        # Importing the libraries takes most of the startup time. With the
        # sockets open, connections wait in the backlog instead of being
        # refused.
        listeners = sockets.ListenerSet(
            (settings.front, settings.ready, settings.control)
        )
        os.environ.setdefault(CERTIFICATES_VARIABLE, os.devnull)
        from pimentowalk.platform import daemon

        asyncio.run(daemon.serve(path, sections, listeners))
    except (errors.PimentowalkError, OSError) as error:
        print(error, file=sys.stderr)
        return 2
    return 0
