"""Listening sockets that exist before the program that serves them."""

import socket

# Connections that wait while a program starts or is busy.
BACKLOG = 512


def listen(host, port):
    """Return a non-blocking TCP socket that listens on an address.

    Raises OSError if the address cannot be used.
    """
    return socket.create_server((host, port), backlog=BACKLOG)


class ListenerSet:
    """Sockets by address, opened early and taken once each."""

    def __init__(self, addresses=()):
        self._waiting = {}
        for address in addresses:
            key = address.host, address.port
            self._waiting[key] = listen(*key)

    def take(self, host, port):
        """Return the waiting socket of an address, or a new one."""
        found = self._waiting.pop((host, port), None)
        return found if found is not None else listen(host, port)

    def close(self):
        """Close the sockets that nobody took."""
        for waiting in self._waiting.values():
            waiting.close()
        self._waiting.clear()
