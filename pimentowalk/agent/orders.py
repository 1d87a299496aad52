"""Orders to the backend server, protected by fencing numbers."""

import asyncio
import json
import logging
import os
import pathlib

import aiohttp

from pimentowalk.agent import rules
from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

DRAIN = 'drain'
FILE_NAME = 'highest_fence'


class FenceFile:
    """Store the highest fencing number durably in a file."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / FILE_NAME

    def read(self):
        """Return the stored number, or None if there is no file.

        Raises DamagedData if the content is not a number.
        """
        try:
            return int(self._path.read_text())
        except FileNotFoundError:
            return None
        except ValueError:
            raise errors.DamagedData(
                f'{self._path.name} does not contain a number', step='orders'
            ) from None

    def write(self, fence):
        """Replace the stored number; it is durable on return."""
        self._path.parent.mkdir(parents=True, exist_ok=True)
        temporary = self._path.with_suffix('.new')
        with open(temporary, 'w') as file:
            file.write(str(fence))
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, self._path)
        folder_fd = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(folder_fd)
        finally:
            os.close(folder_fd)


class OrderHandler:
    """Check the fencing number of each order and forward it to the engine.

    `fetch_highest_fence()` asks control for the highest number issued for
    this server. `drain()` starts draining the agent. With an empty
    `data_folder` the number is not stored.
    """

    def __init__(
        self, identity, engine, data_folder, fetch_highest_fence, drain
    ):
        self._identity = identity
        self._engine = engine
        self._file = FenceFile(data_folder) if data_folder else None
        self._fetch_highest_fence = fetch_highest_fence
        self._drain = drain
        self._lock = asyncio.Lock()
        self.highest_fence = None

    async def load(self):
        """Load the highest number from the file or control."""
        if self.highest_fence is not None:
            return
        stored = None
        if self._file is not None:
            stored = await asyncio.to_thread(self._file.read)
        if stored is None:
            stored = await self._fetch_highest_fence()
        # The load at the start and that of the first order may run
        # concurrently; a late answer must not replace a number in use.
        if self.highest_fence is None:
            self.highest_fence = stored

    async def handle(self, order):
        """Execute an order; return its OrderReply."""
        async with self._lock:
            try:
                await self._accept_fence(order)
                await self._execute(order)
            except errors.PimentowalkError as error:
                return self._reply(False, error.code, error.message)
            return self._reply(True)

    async def _accept_fence(self, order):
        await self.load()
        if not rules.accepts_order(self.highest_fence, order.fence):
            raise errors.PimentowalkError(
                f'fencing number {order.fence} is not higher than '
                f'{self.highest_fence}',
                code='stale_fence',
            )
        # Stored before the order takes effect, so that after a crash in
        # between the number counts as used and the order cannot run twice.
        if self._file is not None:
            await asyncio.to_thread(self._file.write, order.fence)
        self.highest_fence = order.fence

    async def _execute(self, order):
        LOG.info(
            'order %d: %s',
            order.fence,
            order.action,
            extra=logs.fields(step='order'),
        )
        if order.action == DRAIN:
            self._drain()
            return
        try:
            arguments = json.loads(order.arguments or b'{}')
        except ValueError:
            raise errors.PimentowalkError(
                f'the arguments of {order.action} are not JSON',
                code='bad_request',
            ) from None
        await self._forward(
            {
                'fence': order.fence,
                'action': order.action,
                'arguments': arguments,
            }
        )

    async def _forward(self, order):
        try:
            status, text = await self._engine.post_order(order)
        except aiohttp.ClientConnectorError as error:
            raise errors.NotRun(
                f'the engine is unreachable: {error}'
            ) from None
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise errors.OutcomeUnknown(
                f'the order to the engine failed: {error!r}'
            ) from None
        if status != 200:
            raise errors.PimentowalkError(
                f'the engine refused the order with status {status}: {text}',
                code=_refusal_code(status, text),
            )

    def _reply(self, done, code='', text=''):
        return messages.OrderReply(done, code, text, self.highest_fence or 0)


def _refusal_code(status, text):
    """Return the error code of a refusal, from its JSON body if it has one."""
    if status == 409:
        return 'stale_fence'
    try:
        code = json.loads(text)['code']
    except (ValueError, KeyError, TypeError):
        code = ''
    return code if code in errors.CODES else 'bad_request'
