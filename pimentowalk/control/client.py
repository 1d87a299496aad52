"""Clients of the control plane: operator requests and node sessions."""

import asyncio
import logging

from pimentowalk.control import calls
from pimentowalk.control import deltas
from pimentowalk.control import links
from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.core import logs
from pimentowalk.core import tasks
from pimentowalk.core import timers as timers_module
from pimentowalk.membership import view
from pimentowalk.topology import contracts
from pimentowalk.wire import connection as wire
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

# Two instances push changes to a node, so that the node stays current if one
# of them is slow or partitioned from the leader. Heartbeats go to all.
SUBSCRIPTION_COUNT = 2
# After a newer version number is seen, a push usually arrives within this
# time and makes the pull unnecessary.
PULL_DELAY_S = 0.1
PULL_TIMEOUT_S = 2.0


class ControlClient:
    """Send operator requests to the control instances.

    `addresses` is a list of `topology.instances.Instance`.
    """

    def __init__(self, addresses, *, token='', hello=None, timers=None):
        self._addresses = {a.instance_id: a for a in addresses}
        self._hello = hello or messages.Hello(
            'client', 'client', identifiers.new_incarnation()
        )
        self._connections = {}
        # Concurrent requests share one connection to each instance.
        self._dial_lock = asyncio.Lock()
        self._caller = calls.Caller(
            self._addresses,
            self._connect,
            timers or timers_module.TimerService(),
            token=token,
        )

    async def _connect(self, instance_id):
        async with self._dial_lock:
            existing = self._connections.get(instance_id)
            if existing is not None and not existing[0].closed:
                return existing[0]
            address = self._addresses[instance_id]
            peer = await wire.dial(address.host, address.port, self._hello)
            task = asyncio.ensure_future(peer.run())
            self._connections[instance_id] = (peer, task)
            return peer

    async def request(self, command, timeout_s=10.0):
        """Return the result; raise OutcomeUnknown if it may be applied."""
        return await self._caller.request(command, timeout_s)

    async def close(self):
        """Close all connections."""
        readers = []
        for peer, task in self._connections.values():
            peer.close()
            readers.append(task)
        self._connections = {}
        await timers_module.cancel_all(readers)


class NodeSession:
    """Maintain the connections of a node to all control instances.

    `announcement()` returns the current BackendServer of an agent;
    `services` lists the services that an entry watches, an empty list all.
    """

    def __init__(
        self,
        hello,
        addresses,
        timers,
        *,
        announcement=None,
        services=None,
        servers_per_range=16,
        heartbeat_s=1.0,
        draining=lambda: False,
    ):
        self.hello = hello
        self.timers = timers
        self.heartbeat_s = heartbeat_s
        self.announcement = announcement
        self.draining = draining
        self.configuration = contracts.Configuration()
        self.view = view.View()
        self.quarantined = set()
        self.suspects = set()
        self._quarantine_index = -1
        self._watch = None
        if services is not None:
            self._watch = messages.Watch(list(services), servers_per_range)
        self._links = {
            address.instance_id: links.Link(address, self)
            for address in addresses
        }
        self._caller = calls.Caller(self._links, self._connection, timers)
        self.subscribed_ids = []
        self._newest_version = 0
        self._configuration_callbacks = []
        self._view_callbacks = []
        self._has_configuration = asyncio.Event()
        self._has_view = asyncio.Event()
        self._newer_version_seen = asyncio.Event()
        self._push_applied = asyncio.Event()
        self._tasks = []

    async def start(self):
        """Connect to all control instances in the background."""
        self._tasks = [
            tasks.start(
                link.run, self.timers, 'control link', peer=instance_id
            )
            for instance_id, link in self._links.items()
        ]
        self._tasks.append(
            tasks.start(self._pull_when_behind, self.timers, 'pull')
        )

    async def ready(self, timeout_s):
        """Wait for a configuration and, if services are watched, a view.

        Raises TimeoutError.
        """
        async with asyncio.timeout(timeout_s):
            await self._has_configuration.wait()
            if self._watch is not None:
                await self._has_view.wait()

    async def start_announcing(self, announcement):
        """Announce the server that `announcement()` returns from now on."""
        self.announcement = announcement
        await self.announce_now()

    async def announce_now(self):
        """Send the announcement and a heartbeat to all instances now."""
        for link in self._links.values():
            link.announce()

    async def stop(self):
        """Leave all control instances and close the connections."""
        await timers_module.cancel_all(self._tasks)
        await asyncio.gather(*[link.leave() for link in self._links.values()])
        for link in self._links.values():
            await link.stop()

    async def request(self, command, timeout_s=5.0):
        """Return the result; raise OutcomeUnknown if it may be applied."""
        return await self._caller.request(command, timeout_s)

    def links(self):
        """Return the links to all control instances."""
        return list(self._links.values())

    def on_configuration(self, callback):
        """Call `callback(configuration)` after each change."""
        self._configuration_callbacks.append(callback)

    def on_view(self, callback):
        """Call `callback(view)` after each change."""
        self._view_callbacks.append(callback)

    def observe_version(self, version):
        """Schedule a pull if a version seen in a frame is newer."""
        if version > self._newest_version:
            self._newest_version = version
            if version > self.configuration.version:
                self._newer_version_seen.set()

    async def _connection(self, instance_id):
        peer = self._links[instance_id].peer
        if peer is None or peer.closed:
            raise errors.PeerLost(
                'not connected to the control instance',
                step='request',
                peer=instance_id,
            )
        return peer

    def update_subscriptions(self):
        """Subscribe at the preferred control instances that are connected."""
        connected = [i for i, link in self._links.items() if link.is_open]
        connected.sort(key=lambda i: identifiers.hash64(self.hello.node_id, i))
        subscribed_ids = connected[:SUBSCRIPTION_COUNT]
        for instance_id in self.subscribed_ids:
            if instance_id not in subscribed_ids:
                self._unsubscribe(instance_id)
        added = [i for i in subscribed_ids if i not in self.subscribed_ids]
        self.subscribed_ids = subscribed_ids
        for instance_id in added:
            self._subscribe(instance_id)

    def _subscribe(self, instance_id):
        link = self._links[instance_id]
        link.is_subscribed = True
        version = self.configuration.version
        link.post(messages.ConfigurationPull(version, 'start'))
        if self._watch is not None:
            link.post(self._watch)

    def _unsubscribe(self, instance_id):
        link = self._links[instance_id]
        link.is_subscribed = False
        link.post(messages.ConfigurationPull(2**63, 'stop'))
        if self._watch is not None:
            link.post(messages.Watch([], 0))
        self.view.mark_disconnected(instance_id, self.timers.now_s())

    async def _pull_when_behind(self):
        while True:
            await self._newer_version_seen.wait()
            await self.timers.sleep(PULL_DELAY_S)
            for instance_id in self.subscribed_ids * 2:
                if self._newest_version <= self.configuration.version:
                    break
                await self._pull(instance_id)
            if self._newest_version > self.configuration.version:
                await self.timers.sleep(self.heartbeat_s)
            else:
                self._newer_version_seen.clear()

    async def _pull(self, instance_id):
        version = self.configuration.version
        self._push_applied.clear()
        self._links[instance_id].post(messages.ConfigurationPull(version))
        try:
            async with asyncio.timeout(PULL_TIMEOUT_S):
                await self._push_applied.wait()
        except TimeoutError:
            LOG.warning(
                'no configuration newer than version %d arrived in time',
                version,
                extra=logs.fields(step='pull', peer=instance_id),
            )

    def apply_push(self, push, content):
        """Apply configuration changes that lead to a higher version."""
        current = self.configuration
        if not deltas.is_applicable(
            current, push.from_version, push.to_version
        ):
            if current.version < push.to_version:
                self.observe_version(push.to_version)
            return
        self.configuration = deltas.apply(
            current, push.from_version, push.to_version, content
        )
        self.observe_version(push.to_version)
        self._push_applied.set()
        self._has_configuration.set()
        for callback in self._configuration_callbacks:
            callback(self.configuration)

    def apply_view(self, instance_id, update):
        """Apply a view update from a subscribed instance."""
        if instance_id not in self.subscribed_ids:
            return
        self.view.update(instance_id, update, self.timers.now_s())
        if not update.more:
            self._has_view.set()
        for callback in self._view_callbacks:
            callback(self.view)

    def apply_quarantine(self, update):
        """Replace the quarantine lists unless the update is older."""
        if update.applied_index >= self._quarantine_index:
            self._quarantine_index = update.applied_index
            self.quarantined = set(update.fingerprints)
            self.suspects = set(update.suspects)
