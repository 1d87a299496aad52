"""Orders to the backend server, guarded by fencing numbers."""

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
    """Keep the highest fencing number in a file that is synced."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / FILE_NAME

    def read(self):
        """Return the stored number, None without a file.

        Raises DamagedData if the file is not a number.
        """
        try:
            return int(self._path.read_text())
        except FileNotFoundError:
            return None
        except ValueError:
            raise errors.DamagedData(
                f'{self._path.name} is not a number', step='orders'
            ) from None

    def write(self, fence):
        """Replace the number; it is durable when this returns."""
        self._path.parent.mkdir(parents=True, exist_ok=True)
        fresh = self._path.with_suffix('.new')
        with open(fresh, 'w') as file:
            file.write(str(fence))
            file.flush()
            os.fsync(file.fileno())
        os.replace(fresh, self._path)
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


class Orders:
    """Check the fencing number of each order and pass it on.

    `ask_control()` returns the highest number issued for this server.
    `drain()` starts to drain the agent. `data_folder` may be empty.
    """

    def __init__(self, own, engine, data_folder, ask_control, drain):
        self._own = own
        self._engine = engine
        self._file = FenceFile(data_folder) if data_folder else None
        self._ask_control = ask_control
        self._drain = drain
        self._lock = asyncio.Lock()
        self.highest_fence = None

    async def load(self):
        """Learn the highest known number; raise PimentowalkError."""
        if self.highest_fence is not None:
            return
        stored = None
        if self._file is not None:
            stored = await asyncio.to_thread(self._file.read)
        if stored is None:
            stored = await self._ask_control()
        # The load at the start and that of the first order run side by
        # side; a late answer must not replace a number already in use.
        if self.highest_fence is None:
            self.highest_fence = stored

    async def handle(self, order):
        """Carry out an order; return its OrderReply."""
        async with self._lock:
            try:
                await self._accept(order)
                await self._carry_out(order)
            except errors.PimentowalkError as error:
                return self._reply(False, error.code, error.message)
            return self._reply(True)

    async def _accept(self, order):
        await self.load()
        if not rules.accepts_order(self.highest_fence, order.fence):
            raise errors.PimentowalkError(
                f'number {order.fence} is not higher than '
                f'{self.highest_fence}',
                code='stale_fence',
            )
        # Stored before it takes effect: after a restart in between, the
        # number counts as used and cannot run twice.
        if self._file is not None:
            await asyncio.to_thread(self._file.write, order.fence)
        self.highest_fence = order.fence

    async def _carry_out(self, order):
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
                'the arguments are not JSON', code='bad_request'
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
            raise errors.NotRun(f'no engine: {error}') from None
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise errors.OutcomeUnknown(f'engine: {error!r}') from None
        if status != 200:
            raise errors.PimentowalkError(
                f'the engine answered {status}: {text}',
                code=_code_of(status, text),
            )

    def _reply(self, done, code='', text=''):
        return messages.OrderReply(done, code, text, self.highest_fence or 0)


def _code_of(status, text):
    """Return the code of an engine's refusal, from its JSON if it has any."""
    if status == 409:
        return 'stale_fence'
    try:
        code = json.loads(text)['code']
    except (ValueError, KeyError, TypeError):
        code = ''
    return code if code in errors.CODES else 'bad_request'
