"""Clients of control: operators' requests and the sessions of nodes."""

import asyncio
import logging

from pimentowalk.control import calls
from pimentowalk.control import deltas
from pimentowalk.control import links
from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.core import logs
from pimentowalk.core import timers as timers_module
from pimentowalk.membership import view
from pimentowalk.topology import contracts
from pimentowalk.wire import connection as wire
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

# Two instances tell a node of changes, so that one that is slow or cut off
# from the leader does not hold back the node; all of them hear from it.
SUBSCRIPTION_COUNT = 2
# A push usually follows a newer version number within this time and saves
# the pull.
PULL_DELAY_S = 0.1
PULL_TIMEOUT_S = 2.0


class ControlClient:
    """Send requests to control, for operators.

    `addresses` is a list of `topology.instances.Instance`.
    """

    def __init__(self, addresses, *, token='', hello=None, timers=None):
        self._addresses = {a.instance_id: a for a in addresses}
        self._hello = hello or messages.Hello(
            'client', 'client', identifiers.new_incarnation()
        )
        self._connections = {}
        # Concurrent requests share one connection to each instance.
        self._dialling = asyncio.Lock()
        self._caller = calls.Caller(
            self._addresses,
            self._connect,
            timers or timers_module.TimerService(),
            token=token,
        )

    async def _connect(self, instance_id):
        async with self._dialling:
            known = self._connections.get(instance_id)
            if known is not None and not known[0].closed:
                return known[0]
            address = self._addresses[instance_id]
            peer = await wire.dial(address.host, address.port, self._hello)
            task = asyncio.ensure_future(peer.run())
            self._connections[instance_id] = (peer, task)
            return peer

    async def request(self, command, timeout_s=10.0):
        """Return the result; OutcomeUnknown if it may have been applied."""
        return await self._caller.request(command, timeout_s)

    async def close(self):
        """Close all connections."""
        tasks = []
        for peer, task in self._connections.values():
            peer.close()
            tasks.append(task)
        self._connections = {}
        await timers_module.cancel_all(tasks)


class NodeSession:
    """Keep a node in touch with every control instance.

    `announcement()` returns the current BackendServer of an agent;
    `services` lists what an entry watches, where an empty list means all.
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
        self._newest = 0
        self._configuration_callbacks = []
        self._view_callbacks = []
        self._has_configuration = asyncio.Event()
        self._has_view = asyncio.Event()
        self._newer_known = asyncio.Event()
        self._applied = asyncio.Event()
        self._tasks = []

    async def start(self):
        """Connect to all control instances in the background."""
        self._tasks = [
            asyncio.ensure_future(link.run()) for link in self._links.values()
        ]
        self._tasks.append(asyncio.ensure_future(self._pull_when_behind()))

    async def ready(self, timeout_s):
        """Wait for a configuration and, if watching, a view.

        Raises TimeoutError.
        """
        async with asyncio.timeout(timeout_s):
            await self._has_configuration.wait()
            if self._watch is not None:
                await self._has_view.wait()

    async def announce_now(self):
        """Send the announcement and a heartbeat to all instances now."""
        for link in self._links.values():
            link.announce()

    async def stop(self):
        """Close all connections."""
        await timers_module.cancel_all(self._tasks)
        for link in self._links.values():
            await link.stop()

    async def request(self, command, timeout_s=5.0):
        """Return the result; OutcomeUnknown if it may have been applied."""
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
        """Note a configuration version seen in any frame."""
        if version > self._newest:
            self._newest = version
            if version > self.configuration.version:
                self._newer_known.set()

    async def _connection(self, instance_id):
        peer = self._links[instance_id].peer
        if peer is None or peer.closed:
            raise errors.PeerLost(
                'not connected', step='request', peer=instance_id
            )
        return peer

    def update_subscriptions(self):
        """Subscribe at the preferred control instances that are linked."""
        linked = [i for i, link in self._links.items() if link.is_open]
        linked.sort(key=lambda i: identifiers.hash64(self.hello.node_id, i))
        subscribed_ids = linked[:SUBSCRIPTION_COUNT]
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
            await self._newer_known.wait()
            await self.timers.sleep(PULL_DELAY_S)
            for instance_id in self.subscribed_ids * 2:
                if self._newest <= self.configuration.version:
                    break
                await self._pull(instance_id)
            if self._newest > self.configuration.version:
                await self.timers.sleep(self.heartbeat_s)
            else:
                self._newer_known.clear()

    async def _pull(self, instance_id):
        version = self.configuration.version
        self._applied.clear()
        self._links[instance_id].post(messages.ConfigurationPull(version))
        try:
            async with asyncio.timeout(PULL_TIMEOUT_S):
                await self._applied.wait()
        except TimeoutError:
            LOG.warning(
                'no configuration after version %d',
                version,
                extra=logs.fields(step='pull', peer=instance_id),
            )

    def apply_push(self, push, content):
        """Apply configuration changes that lead to a higher version."""
        own = self.configuration
        if not deltas.is_applicable(own, push.from_version, push.to_version):
            if own.version < push.to_version:
                self.observe_version(push.to_version)
            return
        self.configuration = deltas.apply(
            own, push.from_version, push.to_version, content
        )
        self.observe_version(push.to_version)
        self._applied.set()
        self._has_configuration.set()
        for callback in self._configuration_callbacks:
            callback(self.configuration)

    def apply_view(self, instance_id, update):
        """Apply changes of the view."""
        if instance_id not in self.subscribed_ids:
            return
        self.view.update(instance_id, update, self.timers.now_s())
        if not update.more:
            self._has_view.set()
        for callback in self._view_callbacks:
            callback(self.view)

    def apply_quarantine(self, update):
        """Replace the quarantined fingerprints unless the list is old."""
        if update.applied_index >= self._quarantine_index:
            self._quarantine_index = update.applied_index
            self.quarantined = set(update.fingerprints)
            self.suspects = set(update.suspects)
