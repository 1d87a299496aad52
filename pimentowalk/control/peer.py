"""Connection to one other member, and replication over it."""

import asyncio
import logging

from pimentowalk.control import consensus as control_consensus
from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.core import timers as core_timers
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

# Half a frame. A record of the largest size exceeds it and is sent alone, in
# a frame that it fits into.
APPEND_BATCH_BYTES = 512 << 10
SNAPSHOT_CHUNK_BYTES = 256 << 10


class Peer:
    """The connection to one member, and its replication progress.

    `latest_snapshot()` returns the snapshot to send if the member lacks
    records that have been compacted.
    """

    def __init__(self, member, consensus, dial, latest_snapshot):
        self.member = member
        self._consensus = consensus
        self._dial = dial
        self._latest_snapshot = latest_snapshot
        self._connection = None
        self.progress = control_consensus.Progress(
            next_index=consensus.log.last_index + 1
        )

    async def call(self, body):
        """Call the peer; raise PeerLost, TimeoutError or the peer's error."""
        connection = self._connection
        if connection is None or connection.closed:
            raise errors.PeerLost('not connected', peer=self.member.node_id)
        timeout_s = self._consensus.timing.call_timeout_s
        try:
            return await connection.call(body, timeout_s)
        except TimeoutError:
            connection.abort()
            raise

    async def run(self):
        """Keep the connection open; replicate while this replica leads."""
        timing = self._consensus.timing
        while True:
            delay_s = timing.reconnect_delay_s
            try:
                await self._run_connection()
            except (errors.PimentowalkError, TimeoutError) as error:
                if getattr(error, 'code', '') == errors.Conflict.code:
                    delay_s = timing.refused_reconnect_delay_s
                LOG.debug(
                    'peer: %s',
                    error,
                    extra=logs.fields(peer=self.member.node_id),
                )
            await self._consensus.timers.sleep(delay_s)

    async def _run_connection(self):
        connection = await self._dial(self.member.host, self.member.port)
        self._connection = connection
        reader = asyncio.ensure_future(connection.run())
        try:
            async with core_timers.cancelling(reader):
                await self._send_until_closed(reader)
        finally:
            self._connection = None
            connection.abort()

    async def _send_until_closed(self, reader):
        """Replicate whenever it is due until the connection closes."""
        while not reader.done():
            # Waited on before sending, so that a notification during the
            # send is not missed.
            wakeup = asyncio.ensure_future(
                self._consensus.replication_due.wait()
            )
            try:
                if self._consensus.role == control_consensus.LEADER:
                    if await self._replicate():
                        continue
                # A follower also keeps its connections: it needs them to
                # request votes.
                await asyncio.wait(
                    [wakeup, reader],
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                wakeup.cancel()

    async def _replicate(self):
        """Send one request; return whether to send the next one at once."""
        if self.progress.next_index <= self._consensus.log.base_index:
            return await self._send_snapshot()
        return await self._send_records()

    async def _send_records(self):
        consensus = self._consensus
        log = consensus.log
        term = consensus.term
        previous = self.progress.next_index - 1
        request = messages.AppendRequest(
            term=term,
            leader_id=consensus.node_id,
            previous_index=previous,
            previous_term=log.term_at(previous) or 0,
            commit_index=consensus.commit_index,
            records=log.records_from(previous + 1, APPEND_BATCH_BYTES),
            cluster_id=consensus.cluster_id,
            receiver_identity=self.member.identity,
        )
        sent_s = consensus.timers.now_s()
        reply = await self.call(request)
        if not await self._observe_reply_term(reply, term):
            return False
        self._update_progress(reply, sent_s)
        is_behind = self.progress.next_index <= log.last_index
        return is_behind or self.progress.match_index < previous

    def _update_progress(self, reply, sent_s):
        progress = self.progress
        if reply.accepted:
            progress.last_acked_send_s = max(
                progress.last_acked_send_s, sent_s
            )
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = progress.match_index + 1
            self._consensus.advance_commit()
        else:
            next_index = min(progress.next_index - 1, reply.match_index + 1)
            progress.next_index = max(1, next_index)

    async def _observe_reply_term(self, reply, term):
        if reply.term > term:
            await self._consensus.observe_term(reply.term)
        return self._consensus.is_leading(term)

    async def _send_snapshot(self):
        consensus = self._consensus
        term = consensus.term
        snapshot = self._latest_snapshot()
        data = snapshot.encode()
        for offset in range(0, len(data), SNAPSHOT_CHUNK_BYTES):
            chunk = data[offset : offset + SNAPSHOT_CHUNK_BYTES]
            request = messages.SnapshotRequest(
                term=term,
                leader_id=consensus.node_id,
                last_index=snapshot.last_index,
                last_term=snapshot.last_term,
                offset_bytes=offset,
                content=chunk,
                done=offset + len(chunk) == len(data),
                cluster_id=consensus.cluster_id,
                receiver_identity=self.member.identity,
            )
            sent_s = consensus.timers.now_s()
            reply = await self.call(request)
            if (
                not await self._observe_reply_term(reply, term)
                or not reply.accepted
            ):
                return False
            self.progress.last_acked_send_s = sent_s
        progress = self.progress
        progress.match_index = max(progress.match_index, snapshot.last_index)
        progress.next_index = progress.match_index + 1
        return True
