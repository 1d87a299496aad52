"""The headers of the platform's HTTP interface."""

REQUEST_ID = 'Pimentowalk-Request-Id'
DEADLINE_MS = 'Pimentowalk-Deadline-Remaining'
# Resumption: the last event that the caller has, 0 or absent for none.
LAST_EVENT_ID = 'Last-Event-Id'
TENANT = 'Pimentowalk-Tenant'
KEY = 'Pimentowalk-Key'
EXPECT_INSTANCE = 'Pimentowalk-Expect-Instance'
EXPECT_VERSION = 'Pimentowalk-Expect-Version'
# "running,waiting,slots" of the answering server.
LOAD = 'Pimentowalk-Server-Load'
# Present where the server proves that it did not run the request.
NOT_EXECUTED = 'Pimentowalk-Not-Executed'
# "prompt tokens,most output tokens".
TOKEN_COUNT = 'Pimentowalk-Token-Count'
URGENCY = 'Pimentowalk-Request-Urgency'
# Not a count: the list of hops, IP:PORT=FROM-TO each.
HOPS = 'Pimentowalk-Hop-Count'
# The server at fault in a 421 or 503 answer.
AT_SERVER = 'At-Server'
LENGTH_HINT = 'Pimentowalk-Length-Hint'

# Headers that concern one connection only.
CONNECTION_HEADERS = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    }
)
# Headers of a caller that the system replaces or keeps to itself.
OWN_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE_MS,
        LAST_EVENT_ID,
        TENANT,
        KEY,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        URGENCY,
        HOPS,
        NOT_EXECUTED,
    )
)
