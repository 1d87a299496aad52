"""Bounded log of client accounts over their shares while others wait."""

import logging

from pimentowalk.core import logs

LOG = logging.getLogger(__name__)

# An account is logged at most once in this time, and at most so many are.
INTERVAL_S = 10.0
MAX_ACCOUNTS = 3


class ShareLog:
    """Log the largest accounts over their shares."""

    def __init__(self, now_s):
        self._now_s = now_s
        self._logged_s = {}

    def log(self, shares, *, waiting, reserve):
        """Log `AccountShare`s over 1 while streams of others wait."""
        now_s = self._now_s()
        self._logged_s = {
            name: at_s
            for name, at_s in self._logged_s.items()
            if now_s - at_s < INTERVAL_S
        }
        for item in shares:
            is_known = item.name in self._logged_s
            if item.rank <= 1 or is_known:
                continue
            if len(self._logged_s) >= MAX_ACCOUNTS:
                return
            self._logged_s[item.name] = now_s
            LOG.info(
                'a client account is over its share while others wait',
                extra=logs.fields(
                    step='shares',
                    account=item.name or 'public',
                    use=item.use,
                    share=item.share,
                    waiting=waiting,
                    reserve=round(reserve, 3),
                ),
            )
