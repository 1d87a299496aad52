"""Push configuration, views and quarantine lists to subscribed nodes."""

import asyncio

import attrs

from pimentowalk.control import deltas
from pimentowalk.control import watches
from pimentowalk.wire import messages

# Nodes pull deltas above this size at their own pace, so that a large publish
# does not fill the send buffers of all connections at once.
MAX_PUSH_BYTES = 1 << 14
# Announcements within one interval are sent as one view update.
VIEW_PUSH_INTERVAL_S = 0.1
MAX_CACHED_DELTAS = 64
# Quarantine expires by time, without a log record, so the lists are compared
# periodically; a delay of one second is harmless.
STATE_PUSH_INTERVAL_S = 1.0


@attrs.define(eq=False)
class Subscriber:
    """One connection that receives pushes, and what it was last sent."""

    connection: object
    version: int
    view: object = None
    receives_configuration: bool = False
    pulling: bool = False
    quarantine_lists: tuple | None = None


class Pusher:
    """Send each subscriber the changes that it has not received."""

    def __init__(self, state, directory, timers, *, heartbeat_s, clock):
        self._state = state
        self._directory = directory
        self._timers = timers
        self._clock = clock
        self._subscribers = {}
        self._deltas = {}
        self._is_scheduled = False
        self._warm_up_end_s = timers.now_s() + watches.warm_up_s(heartbeat_s)
        state.on_change(self._schedule)

    def _get_or_add(self, connection):
        subscriber = self._subscribers.get(connection)
        if subscriber is None:
            subscriber = Subscriber(connection, 0)
            self._subscribers[connection] = subscriber
        return subscriber

    def remove(self, connection):
        """Remove a closed connection."""
        self._subscribers.pop(connection, None)

    def _schedule(self):
        if not self._is_scheduled and self._subscribers:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_scheduled_push)

    def _run_scheduled_push(self):
        self._is_scheduled = False
        self.push_state()

    def push_state(self):
        """Push changes from applied records and expired quarantines."""
        lists = self._quarantine_lists()
        for subscriber in self._subscribers.values():
            if subscriber.receives_configuration:
                self._push_configuration(subscriber)
                self._push_quarantine(subscriber, lists)

    def _push_configuration(self, subscriber):
        version = self._state.version
        if subscriber.version >= version or subscriber.pulling:
            return
        from_version, content = self._delta(subscriber.version)
        subscriber.version = version
        if len(content) > MAX_PUSH_BYTES:
            self.notify_newer_version(subscriber.connection)
            return
        for push in deltas.split_into_pushes(from_version, version, content):
            subscriber.connection.post(push)

    def notify_newer_version(self, connection):
        """Tell a node that a newer version is accepted."""
        version = self._state.version
        connection.post(messages.ConfigurationPush(version, version, b''))

    def _delta(self, after_version):
        key = (after_version, self._state.version)
        if key not in self._deltas:
            if len(self._deltas) >= MAX_CACHED_DELTAS:
                self._deltas.clear()
            self._deltas[key] = deltas.build(
                self._state.part('publishing'), after_version
            )
        return self._deltas[key]

    async def pull(self, connection, body):
        """Answer a pull, and start or stop the subscription."""
        subscriber = self._get_or_add(connection)
        if body.subscription:
            subscriber.receives_configuration = body.subscription == 'start'
        version = self._state.version
        subscriber.version = body.after_version
        if body.after_version < version:
            from_version, content = self._delta(body.after_version)
            # A push between the pieces would make the node discard them.
            subscriber.pulling = True
            for push in deltas.split_into_pushes(
                from_version, version, content
            ):
                await connection.send(push)
            subscriber.pulling = False
            subscriber.version = version
        if subscriber.receives_configuration:
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
    def _is_warmed_up(self):
        return self._timers.now_s() >= self._warm_up_end_s

    async def watch(self, connection, body):
        """Start, change or stop the watch of a view."""
        subscriber = self._get_or_add(connection)
        subscriber.view = None
        if body.servers_per_range:
            view = watches.WatchedView(connection.hello, body)
            subscriber.view = view
            updates = view.full_updates(
                self._directory, whole=self._is_warmed_up
            )
            for update in updates:
                await connection.send(update)

    def push_views(self):
        """Push view updates for the layer ranges that changed."""
        keys = self._directory.changed_ranges
        self._directory.changed_ranges = set()
        for subscriber in self._subscribers.values():
            view = subscriber.view
            if view is None:
                continue
            if self._is_warmed_up and not view.whole_sent:
                updates = view.full_updates(self._directory, whole=True)
            else:
                updates = view.changed_updates(self._directory, keys)
            for update in updates:
                subscriber.connection.post(update)
