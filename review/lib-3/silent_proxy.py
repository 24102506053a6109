"""A proxy whose open channels can fall silent while new ones work."""

import asyncio
import contextlib


class SilentProxy:
    """Passes bytes on between one address and a server.

    Args:
        server (str): "IP:port" that channels lead to.
    """

    def __init__(self, server: str) -> None:
        self._server_address = server
        self._server: asyncio.Server | None = None
        self._epoch = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ""

    async def __aenter__(self) -> "SilentProxy":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def silence(self) -> None:
        """Passes nothing more on, in either direction, on the open channels.

        They are neither closed nor reset.
        """
        self._epoch += 1

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        epoch = self._epoch
        host, _, port = self._server_address.rpartition(":")
        with contextlib.suppress(OSError, asyncio.CancelledError):
            up_reader, up_writer = await asyncio.open_connection(
                host, int(port)
            )
            await asyncio.gather(
                self._pump(reader, up_writer, epoch),
                self._pump(up_reader, writer, epoch),
            )
            up_writer.close()
        writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        epoch: int,
    ) -> None:
        while data := await reader.read(65536):
            if epoch == self._epoch:
                writer.write(data)
                await writer.drain()
        if epoch == self._epoch and writer.can_write_eof():
            writer.write_eof()
        elif epoch != self._epoch:
            # The other end is not told either.
            await asyncio.sleep(3600)
