"""Wait for conditions and for programs in tests."""

import asyncio
import contextlib
import itertools
import sys

# Bounds a test that hangs; no result depends on it.
TIMEOUT_S = 20


async def until(condition):
    """Wait until a function, or coroutine function, returns a true value."""
    async with asyncio.timeout(TIMEOUT_S):
        for _ in itertools.count():
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.002)


@contextlib.asynccontextmanager
async def program(module, *arguments):
    """Run a module as a program; yield its process."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        module,
        *arguments,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        yield process
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


async def line(process):
    """Return the next line that a program prints."""
    async with asyncio.timeout(TIMEOUT_S):
        return (await process.stdout.readline()).decode().strip()


async def exit_status(process):
    """Return the exit status of a program that is ending."""
    async with asyncio.timeout(TIMEOUT_S):
        return await process.wait()
