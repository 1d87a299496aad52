"""Listening sockets that are bound before the server that uses them starts."""

import socket

# Maximum number of connections that wait to be accepted while a process
# starts or is busy.
BACKLOG = 512


def listen(host, port):
    """Return a non-blocking TCP socket that listens on an address.

    Raises OSError if the address cannot be used.
    """
    return socket.create_server((host, port), backlog=BACKLOG)


class ListenerSet:
    """Hold listening sockets by address until their servers take them."""

    def __init__(self, addresses=()):
        self._untaken = {}
        for address in addresses:
            key = address.host, address.port
            self._untaken[key] = listen(*key)

    def take(self, host, port):
        """Return the open socket of an address, or a new one."""
        listener = self._untaken.pop((host, port), None)
        return listener if listener is not None else listen(host, port)

    def close(self):
        """Close the sockets that were not taken."""
        for listener in self._untaken.values():
            listener.close()
        self._untaken.clear()
