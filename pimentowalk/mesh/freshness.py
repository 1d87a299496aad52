"""Know until when this node's document is the newest, or nearly so."""

import logging

from pimentowalk.control import documents
from pimentowalk.core import errors
from pimentowalk.core import logs

LOG = logging.getLogger(__name__)

CHECK_S = 0.3
CHECK_TIMEOUT_S = 0.9
READ_TIMEOUT_S = 2.0


class Freshness:
    """Check the version at the leader and renew a lease on it.

    The lease runs from before the question was sent. An account whose key
    was removed is served by no node whose lease has ended, so that a
    revocation holds everywhere once the lease time has passed.
    """

    def __init__(self, node, client, timers, lease_s):
        self._node = node
        self._client = client
        self._timers = timers
        self._lease_s = lease_s
        self._checked_s = None
        self._was_valid = False

    @property
    def is_valid(self):
        """Return whether the document was the newest within the lease."""
        return self.age_s < self._lease_s

    @property
    def was_ever_valid(self):
        """Return whether the leader has confirmed a document once."""
        return self._checked_s is not None and self._node.document is not None

    @property
    def age_s(self):
        """Return the age of the last confirmation in seconds."""
        if self._checked_s is None:
            return float('inf')
        return self._timers.now_s() - self._checked_s

    async def run(self):
        """Check until cancelled."""
        while True:
            try:
                await self.check()
            except errors.PimentowalkError as error:
                self._note(error)
            await self._timers.sleep(CHECK_S)

    async def check(self):
        """Renew the lease once, after pulling a newer document."""
        asked_s = self._timers.now_s()
        found = await self._client.request(
            documents.CheckVersion(), CHECK_TIMEOUT_S
        )
        if found.version > self._node.document_version:
            stored = await self._client.request(
                documents.ReadDocument(), READ_TIMEOUT_S
            )
            self._node.apply_document(stored.version, stored.content)
        if self._node.document_version >= found.version:
            self._checked_s = asked_s
            self._note(None)

    def _note(self, error):
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
