"""Framed connections between peers, with calls, and their server."""

import asyncio
import itertools
import logging

from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.core import timers
from pimentowalk.wire import codec
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

HELLO_TIMEOUT_S = 5.0
DIAL_TIMEOUT_S = 2.0
# High-water mark of the write buffer: `send` waits while more data is unsent,
# which bounds the memory that a slow peer can occupy in this process.
WRITE_BUFFER_HIGH_WATER_BYTES = 1 << 20


async def ignore_frame(connection, envelope):
    """Raise FrameError for any frame; the default `on_frame`."""
    raise errors.FrameError(
        f'unexpected {envelope.body.FRAME_NAME}',
        step='receive',
        peer=connection.peer,
    )


class PeerConnection:
    """A connection to one peer, usable once both sides have sent `Hello`.

    `on_frame(connection, envelope)` is awaited for one received frame after
    the other, except probes and responses to calls. `on_close(connection)`
    runs once, after the last frame. `version` returns the configuration
    version that is written into each sent frame.

    The call id of a request is even, and its response carries the same id
    with the lowest bit set. Frames outside a call have the id 0.
    """

    def __init__(self, reader, writer, hello, *, version=lambda: 0):
        self._reader = reader
        self._writer = writer
        self._local_hello = hello
        self._version = version
        self._pending_calls = {}
        self._call_ids = itertools.count(1)
        self._closed = asyncio.Event()
        self._unsent_frames = []
        self.hello = None
        self.on_frame = ignore_frame
        self.on_close = None
        self.sent_bytes = 0
        self.received_bytes = 0
        writer.transport.set_write_buffer_limits(
            high=WRITE_BUFFER_HIGH_WATER_BYTES
        )
        # A peer that resets the connection at once has no address any more.
        host, port = (writer.get_extra_info('peername') or ('unknown', 0))[:2]
        self.address = f'{host}:{port}'

    @property
    def peer(self):
        """Return the node id of the peer, or its address before `Hello`."""
        return self.hello.node_id if self.hello else self.address

    @property
    def closed(self):
        """Return whether the connection has ended."""
        return self._closed.is_set()

    async def wait_closed(self):
        """Wait until the connection has ended."""
        await self._closed.wait()

    async def handshake(self):
        """Exchange `Hello` frames; raise FrameError or PeerLost."""
        self.post_encoded(self.encode(self._local_hello))
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                envelope = await self._read()
        except TimeoutError:
            self.close()
            raise errors.PeerLost(
                'no hello', step='handshake', peer=self.address
            ) from None
        if not isinstance(envelope.body, messages.Hello):
            self.close()
            raise errors.FrameError(
                'the first frame is not a hello',
                step='handshake',
                peer=self.address,
            )
        self.hello = envelope.body

    def post(self, body, *, call_id=0):
        """Queue a frame without waiting; drop it if disconnected.

        A frame that cannot be encoded is logged and dropped.
        """
        if not self.closed:
            self.post_encoded(self.encoded(body, call_id=call_id))

    def encoded(self, body, *, call_id=0):
        """Return the encoded frame, or an empty one that is not sent.

        The latter is logged. Other connections may send the frame too.
        """
        try:
            return self.encode(body, call_id=call_id)
        except errors.EncodeError as error:
            LOG.error(
                'frame not sent: %s',
                error,
                extra=logs.fields(step=error.step, peer=self.peer),
            )
            return b''

    def encode(self, body, *, call_id=0):
        """Return the encoded frame; raise EncodeError."""
        return codec.encode(
            body, config_version=self._version(), call_id=call_id
        )

    def post_encoded(self, frame):
        """Queue an encoded frame without waiting; drop it if disconnected."""
        if not frame or self.closed or self._writer.is_closing():
            return
        self.sent_bytes += len(frame)
        # All frames queued in one iteration of the event loop are written
        # with one system call.
        if not self._unsent_frames:
            asyncio.get_running_loop().call_soon(self._flush)
        self._unsent_frames.append(frame)

    def _flush(self):
        frames, self._unsent_frames = self._unsent_frames, []
        if frames and not self._writer.is_closing():
            self._writer.write(b''.join(frames))

    async def send(self, body, *, call_id=0):
        """Send a frame; raise PeerLost if the connection has ended.

        Raises EncodeError if the body cannot be encoded.
        """
        if self.closed or self._writer.is_closing():
            raise errors.PeerLost(
                'the connection ended', step='send', peer=self.peer
            )
        self.post_encoded(self.encode(body, call_id=call_id))
        self._flush()
        try:
            await self._writer.drain()
        except OSError as error:
            raise errors.PeerLost(
                f'the connection ended: {error}', step='send', peer=self.peer
            ) from None

    async def call(self, body, timeout_s):
        """Send a request and return the body of the response.

        Raises PeerLost, TimeoutError, EncodeError, or PimentowalkError with
        the code of the `Failure` that the peer returned.
        """
        call_id = next(self._call_ids) * 2
        future = asyncio.get_running_loop().create_future()
        self._pending_calls[call_id] = future
        try:
            async with asyncio.timeout(timeout_s):
                await self.send(body, call_id=call_id)
                response = await future
        finally:
            self._pending_calls.pop(call_id, None)
        if isinstance(response, messages.Failure):
            raise error_from_failure(response, self.peer)
        return response

    async def reply(self, envelope, body):
        """Send the response to a call."""
        await self.send(body, call_id=envelope.call_id | 1)

    async def run(self):
        """Dispatch received frames until the connection ends; never raise."""
        try:
            while True:
                try:
                    envelope = await self._read()
                except errors.DecodeError as error:
                    # The header was valid, so the next frame can be read.
                    await self._skip(error)
                    continue
                if isinstance(envelope.body, messages.Probe):
                    self._answer_probe(envelope.body)
                elif envelope.call_id & 1:
                    self._complete_call(envelope)
                else:
                    await self._dispatch(envelope)
        except errors.PeerLost:
            pass
        except errors.FrameError as error:
            LOG.warning(
                'closing the connection: %s',
                error,
                extra=logs.fields(step=error.step, peer=self.peer),
            )
            self.post(failure(error))
        finally:
            self._finalize()

    async def _dispatch(self, envelope):
        try:
            await self.on_frame(self, envelope)
        except errors.EncodeError as error:
            LOG.error('%s', error, extra=logs.fields(peer=self.peer))
            await self._refuse(envelope.call_id, error)
        except (errors.FrameError, errors.PeerLost):
            raise
        except errors.PimentowalkError as error:
            if not envelope.call_id:
                LOG.warning('%s', error, extra=logs.fields(peer=self.peer))
                return
            await self.reply(envelope, failure(error))
        except Exception as error:
            LOG.exception(
                'frame handler failed', extra=logs.fields(peer=self.peer)
            )
            if envelope.call_id:
                await self.reply(
                    envelope, messages.Failure('internal', repr(error))
                )

    async def _skip(self, error):
        """Fail the call that a frame belongs to that cannot be decoded."""
        LOG.error(
            'frame skipped: %s',
            error,
            extra=logs.fields(step=error.step, peer=self.peer),
        )
        if error.call_id & 1:
            self._complete_call(
                codec.Envelope(failure(error), call_id=error.call_id)
            )
        else:
            await self._refuse(error.call_id, error)

    async def _refuse(self, call_id, error):
        """Answer with an error, if there is a call."""
        if call_id:
            await self.send(failure(error), call_id=call_id | 1)

    def _answer_probe(self, probe):
        if not probe.answer:
            self.post(messages.Probe(answer=True))

    def _complete_call(self, envelope):
        future = self._pending_calls.get(envelope.call_id & ~1)
        if future is not None and not future.done():
            future.set_result(envelope.body)

    async def _read(self):
        try:
            header = await self._reader.readexactly(codec.HEADER.size)
            length = codec.body_length(header, self.address)
            payload = await self._reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            raise errors.PeerLost(
                'the connection ended', step='receive', peer=self.peer
            ) from None
        self.received_bytes += len(header) + length
        return codec.decode(payload, self.address)

    def close(self):
        """Close the connection after sending the queued frames."""
        self._flush()
        self._writer.close()

    def abort(self):
        """Close the connection at once and discard the queued frames."""
        self._writer.transport.abort()

    def _finalize(self):
        if self.closed:
            return
        self._closed.set()
        self._flush()
        self._writer.close()
        for future in self._pending_calls.values():
            if not future.done():
                future.set_exception(
                    errors.PeerLost(
                        'the connection ended', step='call', peer=self.peer
                    )
                )
        if self.on_close is not None:
            self.on_close(self)


def failure(error):
    """Return the `Failure` body that describes an error."""
    return messages.Failure(error.code, error.message, error.step, error.peer)


def error_from_failure(body, peer):
    """Return the error that a `Failure` describes."""
    code = body.code if body.code in errors.CODES else 'internal'
    return errors.PimentowalkError(
        body.text, code=code, step=body.step, peer=body.peer or peer
    )


async def dial(host, port, hello, *, version=lambda: 0):
    """Connect to a peer and return the connection after the handshake.

    The caller sets `on_frame` and starts `run` as a task. Raises PeerLost,
    or FrameError if the peer does not follow the protocol.
    """
    try:
        async with asyncio.timeout(DIAL_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError) as error:
        raise errors.PeerLost(
            f'cannot connect: {error or "timeout"}',
            step='dial',
            peer=f'{host}:{port}',
        ) from None
    connection = PeerConnection(reader, writer, hello, version=version)
    try:
        await connection.handshake()
    except errors.PimentowalkError:
        connection.abort()
        raise
    return connection


class PeerServer:
    """Accept peer connections and run each in a task of its own.

    `accept(connection)` is called after the handshake and sets `on_frame`
    and `on_close` of the connection.
    """

    def __init__(self, host, port, hello, accept, *, version=lambda: 0):
        self.host = host
        self.port = port
        self._hello = hello
        self._accept = accept
        self._version = version
        self._server = None
        self._tasks = set()

    async def start(self):
        """Listen; a port of 0 is replaced by the one the system assigned."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            connection = PeerConnection(
                reader, writer, self._hello, version=self._version
            )
            await connection.handshake()
            self._accept(connection)
            await connection.run()
        except errors.PimentowalkError as error:
            LOG.info(
                'connection not accepted: %s',
                error,
                extra=logs.fields(
                    step='accept',
                    peer=str(writer.get_extra_info('peername')),
                ),
            )
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()
            self._tasks.discard(task)

    async def stop_accepting(self):
        """Close the listening socket and keep the open connections."""
        if self._server is not None:
            self._server.close()

    async def stop(self):
        """Close the listening socket and all connections."""
        await self.stop_accepting()
        await timers.cancel_all(list(self._tasks))
