"""One task for each peer: it keeps a connection and sends appends."""

import asyncio
import logging

from pimentowalk.control import consensus as control_consensus
from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.core import timers as core_timers
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

# Half a frame, so that records of the largest size still fit beside it.
BATCH_BYTES = 512 << 10
PIECE_BYTES = 256 << 10


class Peer:
    """The connection to one member, and what the leader sends to it.

    `latest_snapshot()` returns the snapshot to send to a member that is
    further behind than the log reaches.
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
        """Call the peer; raise PeerLost, TimeoutError or its error."""
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
        """Keep a connection and send appends while this replica leads."""
        timing = self._consensus.timing
        while True:
            wait_s = timing.redial_s
            try:
                await self._run_connection()
            except (errors.PimentowalkError, TimeoutError) as error:
                if getattr(error, 'code', '') == errors.Conflict.code:
                    wait_s = timing.redial_refused_s
                LOG.debug(
                    'peer: %s',
                    error,
                    extra=logs.fields(peer=self.member.node_id),
                )
            await self._consensus.timers.sleep(wait_s)

    async def _run_connection(self):
        connection = await self._dial(self.member.host, self.member.port)
        self._connection = connection
        reader = asyncio.ensure_future(connection.run())
        try:
            async with core_timers.cancelling(reader):
                await self._serve(reader)
        finally:
            self._connection = None
            connection.abort()

    async def _serve(self, reader):
        """Send what is due until the connection ends."""
        while not reader.done():
            # Taken before the work, so that a change during it is noticed.
            waiting = asyncio.ensure_future(self._consensus.work.wait())
            try:
                if self._consensus.role == control_consensus.LEADER:
                    if await self._replicate():
                        continue
                # A follower dials again too: it needs the connection to
                # ask for a vote.
                await asyncio.wait(
                    [waiting, reader],
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                waiting.cancel()

    async def _replicate(self):
        """Send once; return whether there is more to send at once."""
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
            records=log.entries(previous + 1, BATCH_BYTES),
            cluster_id=consensus.cluster_id,
            receiver_identity=self.member.identity,
        )
        sent_s = consensus.timers.now_s()
        reply = await self.call(request)
        if not await self._check_term(reply, term):
            return False
        self._note_reply(reply, sent_s)
        behind = self.progress.next_index <= log.last_index
        return behind or self.progress.match_index < previous

    def _note_reply(self, reply, sent_s):
        progress = self.progress
        if reply.accepted:
            progress.acked_sent_s = max(progress.acked_sent_s, sent_s)
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = progress.match_index + 1
            self._consensus.advance_commit()
        else:
            next_index = min(progress.next_index - 1, reply.match_index + 1)
            progress.next_index = max(1, next_index)

    async def _check_term(self, reply, term):
        if reply.term > term:
            await self._consensus.observe_term(reply.term)
        return self._consensus.is_leading(term)

    async def _send_snapshot(self):
        consensus = self._consensus
        term = consensus.term
        snapshot = self._latest_snapshot()
        data = snapshot.encode()
        for offset in range(0, len(data), PIECE_BYTES):
            piece = data[offset : offset + PIECE_BYTES]
            request = messages.SnapshotRequest(
                term=term,
                leader_id=consensus.node_id,
                last_index=snapshot.last_index,
                last_term=snapshot.last_term,
                offset_bytes=offset,
                content=piece,
                done=offset + len(piece) == len(data),
                cluster_id=consensus.cluster_id,
                receiver_identity=self.member.identity,
            )
            sent_s = consensus.timers.now_s()
            reply = await self.call(request)
            if not await self._check_term(reply, term) or not reply.accepted:
                return False
            self.progress.acked_sent_s = sent_s
        progress = self.progress
        progress.match_index = max(progress.match_index, snapshot.last_index)
        progress.next_index = progress.match_index + 1
        return True
