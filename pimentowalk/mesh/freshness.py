"""Bound the age of the document that a node has in force."""

import logging

from pimentowalk.control import documents
from pimentowalk.core import errors
from pimentowalk.core import logs

LOG = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.3
CHECK_TIMEOUT_S = 0.9
READ_TIMEOUT_S = 2.0


class Freshness:
    """Confirm the document version at the leader and renew a lease on it.

    The lease starts before the request to the leader is sent. A node whose
    lease has ended accepts no keys, so a revoked key is rejected everywhere
    once the lease time has passed.
    """

    def __init__(self, node, client, timers, lease_s):
        self._node = node
        self._client = client
        self._timers = timers
        self._lease_s = lease_s
        self._confirmed_s = None
        self._was_valid = False

    @property
    def is_valid(self):
        """Return whether the lease on the document is held."""
        return self.age_s < self._lease_s

    @property
    def was_ever_valid(self):
        """Return whether the leader has ever confirmed a document."""
        return (
            self._confirmed_s is not None and self._node.document is not None
        )

    @property
    def age_s(self):
        """Return the seconds since the last confirmation, infinite if none."""
        if self._confirmed_s is None:
            return float('inf')
        return self._timers.now_s() - self._confirmed_s

    async def run(self):
        """Renew the lease periodically until cancelled."""
        while True:
            try:
                await self.check()
            except errors.PimentowalkError as error:
                self._log_change(error)
            await self._timers.sleep(CHECK_INTERVAL_S)

    async def check(self):
        """Renew the lease once, after fetching a newer document."""
        requested_s = self._timers.now_s()
        latest = await self._client.request(
            documents.CheckVersion(), CHECK_TIMEOUT_S
        )
        if latest.version > self._node.document_version:
            stored = await self._client.request(
                documents.ReadDocument(), READ_TIMEOUT_S
            )
            self._node.apply_document(stored.version, stored.content)
        if self._node.document_version >= latest.version:
            self._confirmed_s = requested_s
            self._log_change(None)

    def _log_change(self, error):
        if self.is_valid == self._was_valid:
            return
        self._was_valid = self.is_valid
        LOG.info(
            'document lease %s',
            'held' if self.is_valid else f'ended: {error}',
            extra=logs.fields(
                step='freshness', version=self._node.document_version
            ),
        )
