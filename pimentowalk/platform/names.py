"""Header names of the HTTP interface of the platform."""

REQUEST_ID = 'Pimentowalk-Request-Id'
DEADLINE_MS = 'Pimentowalk-Deadline-Remaining'
# The id of the last event that was received, for resuming a stream; 0 or
# absent for none.
LAST_EVENT_ID = 'Last-Event-Id'
TENANT = 'Pimentowalk-Tenant'
KEY = 'Pimentowalk-Key'
EXPECT_INSTANCE = 'Pimentowalk-Expect-Instance'
EXPECT_VERSION = 'Pimentowalk-Expect-Version'
# "running,waiting,slots" of the server that answers.
LOAD = 'Pimentowalk-Server-Load'
# Present if the server guarantees that it did not run the request.
NOT_EXECUTED = 'Pimentowalk-Not-Executed'
# "prompt tokens,maximum output tokens".
TOKEN_COUNT = 'Pimentowalk-Token-Count'
# "ID:TOKENS" of each part of the prompt, in order, separated by commas.
PROMPT_PARTS = 'Pimentowalk-Prompt-Prefix'
URGENCY = 'Pimentowalk-Request-Urgency'
# Not a count despite its name: a list of hops, IP:PORT=FROM-TO each.
HOPS = 'Pimentowalk-Hop-Count'
# The address of the faulty server in a 421 or 503 response.
AT_SERVER = 'At-Server'
# "1" in any answer of a server that accepts no new requests any more.
SERVER_LEAVING = 'Server-Leaving'
# In a 503 of a server: for how many seconds it wants nothing from this node.
RETRY_AFTER = 'Retry-After'
LENGTH_HINT = 'Pimentowalk-Length-Hint'

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
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
# Headers of servers that are meant for the node, not for its callers.
NODE_HEADERS = frozenset({SERVER_LEAVING.lower()})
# Headers of callers that are replaced or removed before forwarding.
RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE_MS,
        TENANT,
        KEY,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        URGENCY,
        HOPS,
        NOT_EXECUTED,
    )
)
