"""Send requests to the control leader from any node."""

from pimentowalk.control import commands
from pimentowalk.core import errors
from pimentowalk.wire import messages

RETRY_DELAY_S = 0.05
# Shorter than the timeout of a control client, so that another instance can
# be tried if one does not answer.
CALL_TIMEOUT_S = 0.7
NOT_APPENDED = frozenset({'not_leader', 'no_quorum', 'overloaded', 'draining'})


class LeaderClient:
    """Follow leader hints until a request is answered.

    Use it only for requests that may be executed more than once.
    """

    def __init__(self, node, timers):
        self._node = node
        self._timers = timers
        self._leader_id = ''

    async def request(self, body, timeout_s):
        """Return the result; raise NoQuorum if no leader answers in time.

        Any other PimentowalkError is an error that the leader returned, or
        an EncodeError for a request that is too large for a frame.
        """
        request = messages.ControlRequest(body.NAME, commands.encode(body), '')
        end_s = self._timers.now_s() + timeout_s
        last_error = 'no leader is known'
        tried = set()
        while (left_s := end_s - self._timers.now_s()) > 0:
            target = self._next_target(tried)
            if target is None:
                tried.clear()
                await self._timers.sleep(min(RETRY_DELAY_S, left_s))
                continue
            try:
                reply = await self._call(target, request, left_s)
            except errors.EncodeError:
                # No other instance can be sent the request either.
                raise
            except (errors.PimentowalkError, TimeoutError) as error:
                last_error = f'{target}: {error or "no answer"}'
                tried.add(target)
                self._leader_id = ''
                continue
            if not reply.code:
                self._leader_id = target
                return commands.decode(reply.content, body.RESULT)
            last_error = f'{target}: {reply.code}: {reply.text}'
            if reply.code not in NOT_APPENDED | {'outcome_unknown'}:
                raise errors.PimentowalkError(
                    reply.text, code=reply.code, step=body.NAME, peer=target
                )
            tried.add(target)
            hint = reply.leader_id
            self._leader_id = hint if hint not in tried else ''
        raise errors.NoQuorum(last_error, step=body.NAME)

    def _next_target(self, tried):
        node = self._node
        if node.leads:
            return node.node_id
        candidates = [self._leader_id, *node.leader_hints()]
        candidates += node.open_links()
        for node_id in candidates:
            if node_id and node_id not in tried and node.link(node_id):
                return node_id
        return None

    async def _call(self, target, request, left_s):
        node = self._node
        if target == node.node_id:
            return await node.hub.answer(request, target)
        return await node.link(target).call(
            request, min(CALL_TIMEOUT_S, left_s)
        )
