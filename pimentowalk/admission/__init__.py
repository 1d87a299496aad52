"""Admission control: rate limits, queues, retry budgets and quarantine.

Agents: `fair_queue` (queue policies) and `suspicion` (requests in flight at
an engine crash). Entries: `rate_limits` and `retry_budget`. Control:
`account_use`. Gateways: `room` (waiting streams), `window_budget` (retries)
and `crashes` (requests that crash servers).
"""
