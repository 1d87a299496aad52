"""Listening sockets that are bound before the server that uses them starts."""

import asyncio
import socket

# Maximum number of connections that wait to be accepted while a process
# starts or is busy.
BACKLOG = 512

# asyncio creates the transport of an accepted connection in the next
# iterations of its event loop.
ACCEPT_DELAY_S = 0.01


def listen(host, port):
    """Return a non-blocking TCP socket that listens on an address.

    Raises OSError if the address cannot be used.
    """
    return socket.create_server((host, port), backlog=BACKLOG)


async def stop_accepting(listeners):
    """Stop accepting on sockets; return when they may be closed.

    Up to Python 3.11, asyncio drops a connection that was accepted just
    before its server closes, without closing its socket: the client would
    wait until the process ends.
    """
    loop = asyncio.get_running_loop()
    for listener in listeners:
        loop.remove_reader(listener.fileno())
    await asyncio.sleep(ACCEPT_DELAY_S)


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
