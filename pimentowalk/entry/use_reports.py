"""Report the demand of client accounts and receive rate shares."""

import logging

from pimentowalk.core import errors
from pimentowalk.core import logs

LOG = logging.getLogger(__name__)

POLL_PERIOD_S = 0.25
REQUEST_TIMEOUT_S = 2.0


class UsageReporter:
    """Report the demand seen by this entry and apply the granted shares.

    `commands` is the module `control.commands`, passed in so that this
    module does not import the control plane.
    """

    def __init__(self, entry_id, context, commands):
        self._entry_id = entry_id
        self._context = context
        self._commands = commands
        self._timer = None

    def start(self):
        """Start the report timer."""
        self._timer = self._context.timers.every(
            POLL_PERIOD_S, self.report_if_due
        )

    def stop(self):
        """Stop the report timer."""
        if self._timer is not None:
            self._timer.cancel()

    async def report_if_due(self):
        """Send a report if one is due, and apply the reply."""
        account_limits = self._context.account_limits
        if not self._context.ready or not account_limits.is_report_due():
            return
        demands = account_limits.demands(self._context.configuration.accounts)
        command = self._commands.ReportUse(self._entry_id, demands)
        try:
            result = await self._context.session.request(
                command, REQUEST_TIMEOUT_S
            )
        except errors.PimentowalkError as error:
            LOG.debug(
                'usage report failed: %s',
                error,
                extra=logs.fields(step='report_use'),
            )
            return
        account_limits.grant(result.shares)
