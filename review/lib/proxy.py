"""Proxy before the store, which cuts watches off or loses responses."""

import asyncio


class StoreProxy:
    """Pass calls on to the store, each on a connection of its own."""

    def __init__(self, upstream, record):
        self.upstream, self.record = upstream, record
        self._waiting = set()
        # While true, responses are lost: nothing of them is passed on, and
        # their channels return nothing further.
        self.is_silent = False
        self.lost = 0
        self._server = None
        self.address = ""

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def close(self):
        self._server.close()

    def cut_watches(self):
        """Closes the connection of each watch that is waiting."""
        self.record.note("watches cut", count=len(self._waiting))
        for writer in list(self._waiting):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        to_store = None
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            host, _, port = self.upstream.rpartition(":")
            from_store, to_store = await asyncio.open_connection(
                host, int(port)
            )
            to_store.write(head)
            if b"watch=" in head.split(b"\r\n", 1)[0]:
                self._waiting.add(writer)
            upward = asyncio.ensure_future(self._pump(reader, to_store))
            first = await from_store.read(65_536)
            self._waiting.discard(writer)
            if self.is_silent:
                self.lost += 1
                await upward
                return
            writer.write(first)
            if first:
                await self._pump(from_store, writer)
            upward.cancel()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._waiting.discard(writer)
            writer.close()
            if to_store is not None:
                to_store.close()

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            # A caller that has left ends its call at the store, too.
            writer.close()
