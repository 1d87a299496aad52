"""Push configuration, views and quarantine to the subscribed nodes."""

import asyncio

import attrs

from pimentowalk.control import deltas
from pimentowalk.control import watches
from pimentowalk.wire import messages

# Changes above this size are pulled by the nodes one by one, so that a
# large publish does not fill the send buffers of all connections at once.
PUSH_BYTES = 1 << 14
# A burst of announcements is sent as one update.
TICK_S = 0.1
CACHED_DELTAS = 64
# Quarantine ends by time, without a log record; a second more is harmless.
REFRESH_S = 1.0


@attrs.define(eq=False)
class Subscriber:
    """One connection that gets pushes."""

    connection: object
    version: int
    view: object = None
    configured: bool = False
    pulling: bool = False
    quarantine_lists: tuple | None = None


class Pushes:
    """Send each subscriber what it does not know yet."""

    def __init__(self, state, directory, timers, *, heartbeat_s, clock):
        self._state = state
        self._directory = directory
        self._timers = timers
        self._clock = clock
        self._subscribers = {}
        self._deltas = {}
        self._scheduled = False
        self._warm_at_s = timers.now_s() + watches.warm_up_s(heartbeat_s)
        state.on_change(self._schedule)

    def _subscriber(self, connection):
        subscriber = self._subscribers.get(connection)
        if subscriber is None:
            subscriber = Subscriber(connection, 0)
            self._subscribers[connection] = subscriber
        return subscriber

    def forget(self, connection):
        """Drop a connection that has ended."""
        self._subscribers.pop(connection, None)

    def _schedule(self):
        if not self._scheduled and self._subscribers:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._push_state)

    def _push_state(self):
        self._scheduled = False
        self.refresh()

    def refresh(self):
        """Push what changed by applied records or by the end of a time."""
        lists = self._quarantine_lists()
        for subscriber in self._subscribers.values():
            if subscriber.configured:
                self._push_configuration(subscriber)
                self._push_quarantine(subscriber, lists)

    def _push_configuration(self, subscriber):
        version = self._state.version
        if subscriber.version >= version or subscriber.pulling:
            return
        from_version, content = self._delta(subscriber.version)
        subscriber.version = version
        if len(content) > PUSH_BYTES:
            self.notify(subscriber.connection)
            return
        for push in deltas.pushes(from_version, version, content):
            subscriber.connection.post(push)

    def notify(self, connection):
        """Tell a node that a newer version is accepted."""
        version = self._state.version
        connection.post(messages.ConfigurationPush(version, version, b''))

    def _delta(self, after_version):
        key = (after_version, self._state.version)
        if key not in self._deltas:
            if len(self._deltas) >= CACHED_DELTAS:
                self._deltas.clear()
            self._deltas[key] = deltas.build(
                self._state.part('publishing'), after_version
            )
        return self._deltas[key]

    async def pull(self, connection, body):
        """Answer a pull and start or stop the subscription."""
        subscriber = self._subscriber(connection)
        if body.subscription:
            subscriber.configured = body.subscription == 'start'
        version = self._state.version
        subscriber.version = body.after_version
        if body.after_version < version:
            from_version, content = self._delta(body.after_version)
            # A push between the pieces would spoil them for the node.
            subscriber.pulling = True
            for push in deltas.pushes(from_version, version, content):
                await connection.send(push)
            subscriber.pulling = False
            subscriber.version = version
        if subscriber.configured:
            self._push_configuration(subscriber)
            self._push_quarantine(subscriber, self._quarantine_lists())

    def _quarantine_lists(self):
        part = self._state.part('quarantine')
        now_s = self._clock()
        return sorted(part.active(now_s)), part.suspects(now_s)

    def _push_quarantine(self, subscriber, lists):
        if subscriber.quarantine_lists == lists:
            return
        subscriber.quarantine_lists = lists
        fingerprints, suspects = lists
        subscriber.connection.post(
            messages.QuarantineUpdate(
                fingerprints, self._state.index, suspects
            )
        )

    @property
    def _warm(self):
        return self._timers.now_s() >= self._warm_at_s

    async def watch(self, connection, body):
        """Start, change or end the watch of a view."""
        subscriber = self._subscriber(connection)
        subscriber.view = None
        if body.servers_per_range:
            view = watches.WatchedView(connection.hello, body)
            subscriber.view = view
            updates = view.start(self._directory, whole=self._warm)
            for update in updates:
                await connection.send(update)

    def tick(self):
        """Push changed views."""
        keys = self._directory.changed
        self._directory.changed = set()
        for subscriber in self._subscribers.values():
            view = subscriber.view
            if view is None:
                continue
            if self._warm and not view.whole_sent:
                updates = view.start(self._directory, whole=True)
            else:
                updates = view.changes(self._directory, keys)
            for update in updates:
                subscriber.connection.post(update)
