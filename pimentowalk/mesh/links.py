"""The connection of a node to one control instance."""

import asyncio
import logging

import attrs

from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.core import timers as core_timers
from pimentowalk.mesh import hub as mesh_hub
from pimentowalk.wire import connection as wire
from pimentowalk.wire import messages
from pimentowalk.wire import node_messages

LOG = logging.getLogger(__name__)

# Interval of status reports to the instances that push to this node.
STATUS_INTERVAL_S = 0.4
# Interval of status reports to all others, which only count the node as
# live; see `hub.NODE_TIMEOUT_S`.
IDLE_STATUS_INTERVAL_S = 1.0
# The link reconnects if a status report is not answered within this time,
# which detects connections that broke without a reset.
STATUS_TIMEOUT_S = 1.0
# A node that stops waits at most this long for the answer to its last status;
# the platform kills gateways that exceed their stop time.
LEAVE_TIMEOUT_S = 0.3
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.8


class ControlLink:
    """Keep a connection to one control instance and report status on it.

    `news` is the last `ControlNews` of the instance, None while not open.
    """

    def __init__(self, address, node, timers):
        self.address = address
        self.news = None
        self._node = node
        self._timers = timers
        self._peer = None
        self._reader = None
        self._was_open = False

    @property
    def is_open(self):
        """Return whether the instance has answered on this connection."""
        return (
            self._peer is not None
            and not self._peer.closed
            and self.news is not None
        )

    @property
    def zone(self):
        """Return the zone of the instance, empty while not connected."""
        return self._peer.hello.zone if self._peer is not None else ''

    def post(self, body):
        """Queue a frame if the connection is open."""
        if self._peer is not None and not self._peer.closed:
            self._peer.post(body)

    async def call(self, body, timeout_s):
        """Return the reply to a frame; raise PeerLost or TimeoutError."""
        if not self.is_open:
            raise errors.PeerLost('not connected', peer=self.address.node_id)
        return await self._peer.call(body, timeout_s)

    async def run(self):
        """Connect, and reconnect after errors, until cancelled."""
        delay_s = MIN_RETRY_DELAY_S
        while True:
            try:
                await self._connect()
                delay_s = MIN_RETRY_DELAY_S
                await self._report_status()
            except (errors.PimentowalkError, TimeoutError) as error:
                self._log_lost(error)
            finally:
                await self._close()
            await self._timers.sleep(delay_s)
            delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)

    async def leave(self):
        """Report that the node stops, so that its record is removed now.

        Without the answer, the record ends with the connection.
        """
        if not self.is_open:
            return
        status = attrs.evolve(self._node.status_for(self), leaving=True)
        try:
            await self._peer.call(status, LEAVE_TIMEOUT_S)
        except (errors.PimentowalkError, TimeoutError) as error:
            LOG.warning(
                'control did not acknowledge that the node leaves: %r',
                error,
                extra=logs.fields(step='leave', peer=self.address.node_id),
            )

    async def _connect(self):
        node = self._node
        peer = await wire.dial(
            self.address.host, self.address.port, node.hello
        )
        peer.on_frame = self._on_frame
        self._peer = peer
        self._reader = asyncio.ensure_future(peer.run())

    async def _close(self):
        if self._peer is None:
            return
        peer, self._peer = self._peer, None
        self.news = None
        peer.abort()
        await core_timers.cancel_all([self._reader])
        self._node.update_links()

    async def _report_status(self):
        # Announced while the connection was broken or could not be opened.
        for frame in mesh_hub.split_backends(self._node.departures()):
            self.post(frame)
        while True:
            status = self._node.status_for(self)
            self.news = await self._peer.call(status, STATUS_TIMEOUT_S)
            if not self._was_open:
                self._was_open = True
                LOG.info(
                    'connected to control',
                    extra=logs.fields(step='mesh', peer=self.address.node_id),
                )
            self._node.update_links()
            # A node that has just subscribed to this instance reports so at
            # once, since it knows no backend servers before.
            current = self._node.status_for(self)
            if (current.subscribed, current.changes_only) == (
                status.subscribed,
                status.changes_only,
            ):
                await self._timers.sleep(
                    STATUS_INTERVAL_S
                    if status.subscribed
                    else IDLE_STATUS_INTERVAL_S
                )

    def _log_lost(self, error):
        if self._was_open:
            self._was_open = False
            LOG.warning(
                'lost a control instance: %s',
                error or 'no answer',
                extra=logs.fields(step='mesh', peer=self.address.node_id),
            )

    async def _on_frame(self, peer, envelope):
        if isinstance(envelope.body, messages.Failure):
            LOG.warning(
                'the control instance closes the connection: %s',
                envelope.body.text,
                extra=logs.fields(step='mesh', peer=peer.peer),
            )
            return
        unknown_keys = self._node.handle_frame(envelope.body)
        if unknown_keys:
            self.post(node_messages.BackendRequest(unknown_keys))


async def wait_for_disks(waits, disk_count):
    """Return once enough disks hold a departure; raise NotDurable.

    `waits` maps the ids of instances to awaitables that end once the disk of
    the instance holds it, or fail.
    """
    held_count = 0
    checks = [_is_held(wait, node_id) for node_id, wait in waits.items()]
    for check in asyncio.as_completed(checks):
        held_count += await check
        if held_count >= disk_count:
            return
    raise errors.NotDurable(
        f'{held_count} of {disk_count} disks hold it', step='leave'
    )


async def _is_held(wait, node_id):
    """Return whether waiting for the disk of an instance succeeds."""
    try:
        await wait
    except (errors.PimentowalkError, TimeoutError) as error:
        # An instance of an older release sends no answer, one without a disk
        # refuses.
        LOG.info(
            'departure not held: %s',
            error or 'no answer',
            extra=logs.fields(step='leave', peer=node_id),
        )
        return False
    return True
