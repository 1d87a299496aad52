"""The connection of a node to one control instance."""

import asyncio
import logging

from pimentowalk.control import deltas
from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.core import logs
from pimentowalk.core import registry
from pimentowalk.core import timers
from pimentowalk.wire import connection as wire
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
# An instance that this node subscribes to must answer a heartbeat within
# this many heartbeat periods; after that the connection is closed.
ANSWER_TIMEOUT_HEARTBEATS = 3
# A node that stops waits at most this long for control to acknowledge it.
LEAVE_TIMEOUT_S = 1.0
FRAMES = registry.Registry('frame from control')


class Link:
    """Keep a connection to one control instance and send heartbeats."""

    def __init__(self, address, session):
        self.address = address
        self.session = session
        self.peer = None
        self.is_subscribed = False
        self.assembler = deltas.PushAssembler()
        self._last_announcement = None
        self._reader_task = None
        # Spreads the reconnects of nodes that lost the same instance.
        node_id = session.hello.node_id
        jitter = identifiers.hash64(node_id, address.instance_id) % 1000
        self._jitter_factor = 0.5 + jitter / 2000

    @property
    def is_open(self):
        """Return whether the connection is open."""
        return self.peer is not None and not self.peer.closed

    def post(self, body):
        """Queue a frame if the connection is open."""
        if self.is_open:
            self.peer.post(body)

    async def run(self):
        """Connect, and reconnect with a growing delay, until cancelled."""
        delay_s = MIN_RETRY_DELAY_S
        while True:
            try:
                await self._connect()
                delay_s = MIN_RETRY_DELAY_S
                await self._send_heartbeats()
            except errors.PimentowalkError as error:
                self._log_disconnect(str(error))
            except TimeoutError:
                self._log_disconnect('a heartbeat was not answered in time')
                self.peer.abort()
            except Exception:
                await self._disconnect()
                raise
            await self._disconnect()
            await self.session.timers.sleep(delay_s * self._jitter_factor)
            delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)

    def _log_disconnect(self, reason):
        LOG.info(
            'no link to control: %s',
            reason,
            extra=logs.fields(
                step='control link',
                peer=f'{self.address.host}:{self.address.port}',
            ),
        )

    async def _connect(self):
        session = self.session
        peer = await wire.dial(
            self.address.host,
            self.address.port,
            session.hello,
            version=lambda: session.configuration.version,
        )
        peer.on_frame = self._on_frame
        self.peer = peer
        self._last_announcement = None
        self.assembler = deltas.PushAssembler()
        self._reader_task = asyncio.ensure_future(peer.run())
        self.announce()
        session.update_subscriptions()

    async def _disconnect(self):
        if self.peer is None:
            return
        self.peer.close()
        await timers.cancel_all([self._reader_task])
        self.peer = None
        self.is_subscribed = False
        self.session.update_subscriptions()

    async def leave(self):
        """Report that the node stops, so that its record is removed now.

        Without the acknowledgement, the record ends with the connection.
        """
        if not self.is_open:
            return
        try:
            await self.peer.call(
                self._make_heartbeat(leaving=True), LEAVE_TIMEOUT_S
            )
        except (errors.PimentowalkError, TimeoutError) as error:
            LOG.warning(
                'control did not acknowledge that the node leaves: %r',
                error,
                extra=logs.fields(step='leave', peer=self.peer.peer),
            )

    async def stop(self):
        """Close the connection once the queued frames have been sent."""
        if self.peer is not None:
            self.peer.close()
            await timers.cancel_all([self._reader_task])

    def announce(self):
        """Send the announcement if it has changed, and a heartbeat."""
        self._post_announcement()
        self.post(self._make_heartbeat())

    def _post_announcement(self):
        if self.session.announcement is None:
            return
        server = self.session.announcement()
        if server != self._last_announcement and self.is_open:
            self._last_announcement = server
            self.post(messages.Announce(server))

    def _make_heartbeat(self, *, leaving=False):
        session = self.session
        draining = session.draining()
        if self._last_announcement is not None:
            draining = self._last_announcement.draining
        return messages.Heartbeat(
            session.hello.node_id,
            session.hello.incarnation,
            session.configuration.version,
            draining,
            leaving,
        )

    async def _send_heartbeats(self):
        period_s = self.session.heartbeat_s
        while self.is_open:
            await self.session.timers.sleep(period_s)
            self._post_announcement()
            if self.is_subscribed:
                # The answer shows that the instance is still alive.
                await self.peer.call(
                    self._make_heartbeat(),
                    ANSWER_TIMEOUT_HEARTBEATS * period_s,
                )
            else:
                await self.peer.send(self._make_heartbeat())

    async def _on_frame(self, peer, envelope):
        self.session.observe_version(envelope.config_version)
        name = envelope.body.FRAME_NAME
        if name not in FRAMES.names():
            raise errors.FrameError(
                f'unexpected frame {name}', step='receive', peer=peer.peer
            )
        FRAMES.get(name)(self, envelope.body)


@FRAMES.register('configurationPush')
def on_push(link, push):
    """Apply pushed changes, or note that a newer version exists."""
    if not push.content:
        link.session.observe_version(push.to_version)
        return
    content = link.assembler.add(push)
    if content is not None:
        link.session.apply_push(push, content)


@FRAMES.register('viewUpdate')
def on_view(link, update):
    """Apply changes of the view of backend servers."""
    link.session.apply_view(link.address.instance_id, update)


@FRAMES.register('quarantineUpdate')
def on_quarantine(link, update):
    """Apply the list of quarantined fingerprints."""
    link.session.apply_quarantine(update)


@FRAMES.register('failure')
def on_failure(link, failure):
    """Log why the control instance closes the connection."""
    LOG.warning(
        'the control instance closes the connection: %s: %s',
        failure.code,
        failure.text,
    )
