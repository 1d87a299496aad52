"""A client of streams, and a proxy that resets connections."""

import asyncio
import re
import socket
import struct

import aiohttp

EVENT_ID = re.compile(rb'^id: (\d+)$', re.MULTILINE)


async def read_stream(deployment, address, path, *, body=b'a prompt', **more):
    """Send one stream; return (status, ids of the events, is complete)."""
    request_id = deployment.new_id()
    headers = deployment.headers(
        request_id,
        **{
            'Pimentowalk-Model': 'm0',
            'Pimentowalk-Token-Count': '100,80',
            'Pimentowalk-Prompt-Prefix': '5c1e07a2:40,91bd3f06:60',
        },
    )
    host, port = address
    deployment.record.say(
        f'client sends {request_id} to {host}:{port} with {more}'
    )
    status, data, is_complete = 0, b'', False
    try:
        async with deployment.session.post(
            f'http://{host}:{port}{path}', headers=headers | more, data=body
        ) as response:
            status = response.status
            async for chunk in response.content.iter_any():
                data += chunk
        is_complete = True
    except (aiohttp.ClientError, OSError):
        pass
    ids = [int(number) for number in EVENT_ID.findall(data)]
    deployment.record.say(
        f'client got {status} for {request_id}: events {_span(ids)}, '
        f'{"complete" if is_complete else "broken off"}'
    )
    return status, ids, is_complete


class ResettingProxy:
    """Forward connections; reset some once they have passed some events.

    `reset_next` is how many of the next connections are reset.
    """

    def __init__(self, host, target, after_events):
        self.host = host
        self.port = 0
        self.reset_next = 0
        self._target = target
        self._after_events = after_events
        self._server = None
        self._tasks = set()

    @property
    def address(self):
        """Return host and port."""
        return self.host, self.port

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        is_reset = self.reset_next > 0
        self.reset_next -= is_reset
        up_reader, up_writer = await asyncio.open_connection(*self._target)
        upward = asyncio.ensure_future(_copy(reader, up_writer))
        self._tasks.add(upward)
        upward.add_done_callback(self._tasks.discard)
        seen = b''
        try:
            while data := await up_reader.read(65536):
                seen += data
                if is_reset and len(EVENT_ID.findall(seen)) >= (
                    self._after_events
                ):
                    extra = _length_after(seen, self._after_events)
                    writer.write(data[: len(data) - extra])
                    await writer.drain()
                    await asyncio.sleep(0.05)
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            upward.cancel()
            up_writer.transport.abort()
            if is_reset:
                _reset(writer)
            writer.close()


def _length_after(data, events):
    """Return how many bytes follow the given number of whole events."""
    end = 0
    for found in list(EVENT_ID.finditer(data))[:events]:
        end = data.index(b'\n\n', found.end()) + 2
    return len(data) - end


def _reset(writer):
    """Close a connection so that its peer gets a reset."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )


async def _copy(reader, writer):
    while data := await reader.read(65536):
        writer.write(data)
        await writer.drain()


def _span(ids):
    """Return the ids as runs of following numbers."""
    runs = []
    for number in ids:
        if runs and number == runs[-1][1] + 1:
            runs[-1][1] = number
        else:
            runs.append([number, number])
    return ','.join(f'{first}-{last}' for first, last in runs) or 'none'
