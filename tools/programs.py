"""Run a stand-in as a program."""

import asyncio
import signal


async def run_until_stopped(part, address):
    """Start a part, print its address, and stop it on SIGINT or SIGTERM.

    `address` returns the text to print once the part listens.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    await part.start()
    print(address(), flush=True)
    try:
        await stopped.wait()
    finally:
        await part.stop()
