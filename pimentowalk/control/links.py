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

FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 1.0
# The link to a subscribed instance is closed after this many unanswered
# heartbeats.
MISSED_HEARTBEATS = 3
FRAMES = registry.Registry('frame from control')


class Link:
    """Dial one control instance again and again, and heartbeat to it."""

    def __init__(self, address, session):
        self.address = address
        self.session = session
        self.peer = None
        self.is_subscribed = False
        self.assembler = deltas.PushAssembler()
        self._announced = None
        self._reader = None
        # Nodes that lost the same instance must not dial it all at once.
        name = session.hello.node_id
        part = identifiers.hash64(name, address.instance_id) % 1000
        self._spread = 0.5 + part / 2000

    @property
    def is_open(self):
        """Return whether the connection works."""
        return self.peer is not None and not self.peer.closed

    def post(self, body):
        """Queue a frame if the connection is open."""
        if self.is_open:
            self.peer.post(body)

    async def run(self):
        """Keep the connection until cancelled."""
        delay_s = FIRST_RETRY_S
        while True:
            try:
                await self._open()
                delay_s = FIRST_RETRY_S
                await self._heartbeats()
            except errors.PimentowalkError as error:
                self._log_lost(str(error))
            except TimeoutError:
                self._log_lost('no answer to a heartbeat')
                self.peer.abort()
            await self._close()
            await self.session.timers.sleep(delay_s * self._spread)
            delay_s = min(delay_s * 2, LONGEST_RETRY_S)

    def _log_lost(self, reason):
        LOG.info(
            'no link to control: %s',
            reason,
            extra=logs.fields(
                step='control link',
                peer=f'{self.address.host}:{self.address.port}',
            ),
        )

    async def _open(self):
        session = self.session
        peer = await wire.dial(
            self.address.host,
            self.address.port,
            session.hello,
            version=lambda: session.configuration.version,
        )
        peer.on_frame = self._on_frame
        self.peer = peer
        self._announced = None
        self.assembler = deltas.PushAssembler()
        self._reader = asyncio.ensure_future(peer.run())
        self.announce()
        session.update_subscriptions()

    async def _close(self):
        if self.peer is None:
            return
        self.peer.close()
        await timers.cancel_all([self._reader])
        self.peer = None
        self.is_subscribed = False
        self.session.update_subscriptions()

    async def stop(self):
        """Close the connection after what was queued has been sent."""
        if self.peer is not None:
            self.peer.close()
            await timers.cancel_all([self._reader])

    def announce(self):
        """Send a changed announcement, and a heartbeat."""
        self._post_announcement()
        self.post(self._heartbeat())

    def _post_announcement(self):
        if self.session.announcement is None:
            return
        server = self.session.announcement()
        if server != self._announced and self.is_open:
            self._announced = server
            self.post(messages.Announce(server))

    def _heartbeat(self):
        session = self.session
        draining = session.draining()
        if self._announced is not None:
            draining = self._announced.draining
        return messages.Heartbeat(
            session.hello.node_id,
            session.hello.incarnation,
            session.configuration.version,
            draining,
        )

    async def _heartbeats(self):
        period_s = self.session.heartbeat_s
        while self.is_open:
            await self.session.timers.sleep(period_s)
            self._post_announcement()
            if self.is_subscribed:
                # An answer shows that the instance still works.
                await self.peer.call(
                    self._heartbeat(), MISSED_HEARTBEATS * period_s
                )
            else:
                await self.peer.send(self._heartbeat())

    async def _on_frame(self, peer, envelope):
        self.session.observe_version(envelope.config_version)
        name = envelope.body.FRAME_NAME
        if name not in FRAMES.names():
            raise errors.FrameError(
                f'unexpected {name}', step='receive', peer=peer.peer
            )
        FRAMES.get(name)(self, envelope.body)


@FRAMES.register('configurationPush')
def on_push(link, push):
    """Apply the changes, or note that a newer version is accepted."""
    if not push.content:
        link.session.observe_version(push.to_version)
        return
    content = link.assembler.add(push)
    if content is not None:
        link.session.apply_push(push, content)


@FRAMES.register('viewUpdate')
def on_view(link, update):
    """Apply changes of the view."""
    link.session.apply_view(link.address.instance_id, update)


@FRAMES.register('quarantineUpdate')
def on_quarantine(link, update):
    """Apply the list of quarantined fingerprints."""
    link.session.apply_quarantine(update)


@FRAMES.register('failure')
def on_failure(link, failure):
    """Log why the control instance closes the connection."""
    LOG.warning('control closes: %s: %s', failure.code, failure.text)
