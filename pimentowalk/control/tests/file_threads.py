"""Threads for file operations that wait for the disk on a manual clock."""

import asyncio
import threading

from pimentowalk.control import files
from pimentowalk.core import errors
from pimentowalk.core import timers

_CURRENT = threading.local()


def wait_for_room(delay_s):
    """Let the event loop run while the calling thread waits for room."""
    _CURRENT.file_thread.wait_for_room()


class FileThread:
    """Run blocking file operations one after another, as an executor does.

    While an operation runs, the event loop is blocked, so that the order is
    deterministic. While it waits for room on the disk, the loop and the
    clock go on.
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = asyncio.Lock()
        self._killed = asyncio.Event()
        self._yielded = threading.Semaphore(0)
        self._resumed = threading.Semaphore(0)
        self._is_waiting = False
        self.wait_count = 0

    def kill(self):
        """Fail the running operation and ignore all later ones."""
        self._killed.set()

    def wait_for_room(self):
        """Return after the retry delay; raise if the process was killed."""
        self.wait_count += 1
        self._is_waiting = True
        self._yielded.release()
        self._resumed.acquire()
        if self._killed.is_set():
            raise errors.PimentowalkError('the process was killed')

    async def run(self, function, *arguments):
        """Return the result of an operation, run in a thread."""
        operation = asyncio.ensure_future(self._run(function, arguments))
        # A failure that no caller waits for any more is not an error.
        operation.add_done_callback(
            lambda task: task.cancelled() or task.exception()
        )
        return await asyncio.shield(operation)

    async def _run(self, function, arguments):
        async with self._lock:
            if self._killed.is_set():
                return None
            outcome = []
            thread = threading.Thread(
                target=self._run_in_thread, args=(function, arguments, outcome)
            )
            thread.start()
            self._yielded.acquire()
            while self._is_waiting:
                await self._sleep()
                self._is_waiting = False
                self._resumed.release()
                self._yielded.acquire()
            thread.join()
            result, error = outcome.pop()
            if error is not None:
                raise error
            return result

    async def _sleep(self):
        sleeping = asyncio.ensure_future(
            self._clock.sleep(files.DISK_FULL_RETRY_S)
        )
        killed = asyncio.ensure_future(self._killed.wait())
        async with timers.cancelling(sleeping, killed):
            await asyncio.wait(
                (sleeping, killed), return_when=asyncio.FIRST_COMPLETED
            )

    def _run_in_thread(self, function, arguments, outcome):
        _CURRENT.file_thread = self
        try:
            outcome.append((function(*arguments), None))
        except BaseException as error:
            outcome.append((None, error))
        self._yielded.release()


class InlineFileThread:
    """Run file operations in the event loop; none ever waits."""

    def __init__(self, clock):
        pass

    def kill(self):
        """Do nothing; no operation is running."""

    async def run(self, function, *arguments):
        """Return the result of an operation."""
        return function(*arguments)
