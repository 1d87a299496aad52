"""Cut machines from the core by a proxy in front of each core machine."""

import asyncio
import contextlib


class Cut:
    """Pass on what machines say to the core and back, unless they are cut.

    They get another port for the traffic between nodes, at which they find
    proxies on the addresses of the core instead of the core itself. While the
    cut lasts, no byte passes and new connections hang.
    """

    def __init__(self, world, machines, core):
        for machine in machines:
            machine.peer_port = world.ports['spare']
        self._world = world
        self._names = ', '.join(machine.name for machine in machines)
        self._core = core
        self._healed = asyncio.Event()
        self._healed.set()
        self._servers = []
        self._tasks = set()

    async def start(self):
        """Listen beside each core machine."""
        for gateway in self._core:

            async def serve(reader, writer, host=gateway.host):
                await self._serve(reader, writer, host)

            self._servers.append(
                await asyncio.start_server(
                    serve, gateway.host, self._world.ports['spare']
                )
            )

    async def stop(self):
        """Stop listening and end all connections."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()

    async def cut_for(self, duration_s):
        """Cut the machines from the core for some time."""
        record = self._world.record
        record.say(f'{self._names}: cut from the core')
        self._healed.clear()
        await asyncio.sleep(duration_s)
        self._healed.set()
        record.say(f'{self._names}: reach the core again')

    async def _serve(self, reader, writer, host):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._healed.wait()
            up_reader, up_writer = await asyncio.open_connection(
                host, self._world.ports['peer']
            )
            await asyncio.gather(
                self._copy(reader, up_writer), self._copy(up_reader, writer)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _copy(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self._healed.wait()
                writer.write(data)
                await writer.drain()
        await self._healed.wait()
        writer.close()
