"""Reports of account use to control, answered by shares."""

import logging

from pimentowalk.core import errors
from pimentowalk.core import logs

LOG = logging.getLogger(__name__)

POLL_S = 0.25
REQUEST_TIMEOUT_S = 2.0


class UseReporter:
    """Report the demands of an entry and take over its shares.

    `commands` is the module `control.commands`.
    """

    def __init__(self, entry_id, context, commands):
        self._entry_id = entry_id
        self._context = context
        self._commands = commands
        self._subscription = None

    def start(self):
        """Begin to report."""
        self._subscription = self._context.timers.every(POLL_S, self.poll)

    def stop(self):
        """Report no longer."""
        if self._subscription is not None:
            self._subscription.cancel()

    async def poll(self):
        """Report if it is time to."""
        limits = self._context.limits
        if not self._context.ready or not limits.is_report_due():
            return
        demands = limits.demands(self._context.configuration.accounts)
        command = self._commands.ReportUse(self._entry_id, demands)
        try:
            result = await self._context.session.request(
                command, REQUEST_TIMEOUT_S
            )
        except errors.PimentowalkError as error:
            LOG.debug(
                'no shares: %s', error, extra=logs.fields(step='report_use')
            )
            return
        limits.grant(result.shares)
