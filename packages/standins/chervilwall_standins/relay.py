"""TCP relays between routers that tests can cut, in either direction."""

import asyncio
import contextlib
import threading
from collections.abc import Mapping

POLL_S = 0.02
CHUNK_BYTES = 65_536


class PeerRelays:
    """Relay the router protocol, holding back what crosses a cut.

    What was held back is delivered late when the cut heals, as TCP would.
    """

    def __init__(self) -> None:
        self._cut: set[tuple[str, str]] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._servers: list[asyncio.Server] = []

    def __repr__(self) -> str:
        return f"PeerRelays(cut={len(self._cut)})"

    def start(self, relays: Mapping[str, str], port: int) -> None:
        """Starts a relay before each host.

        Args:
            relays (Mapping): Address of the relay, by address of the host.
            port (int): Port of hosts and relays.
        """
        self._thread.start()
        for host, relay in relays.items():
            work = self._listen(host, relay, port)
            asyncio.run_coroutine_threadsafe(work, self._loop).result(10)

    def stop(self) -> None:
        """Stops all relays."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def cut(self, source: str, destination: str) -> None:
        """Cuts one direction between two hosts."""
        self._cut.add((source, destination))

    def isolate(self, host: str, others: list[str]) -> None:
        """Cuts both directions between a host and others."""
        for other in others:
            self.cut(host, other)
            self.cut(other, host)

    def heal(self) -> None:
        """Ends all cuts."""
        self._cut.clear()

    async def _listen(self, host: str, relay: str, port: int) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            source = writer.get_extra_info("peername")[0]
            await self._relay(source, host, port, reader, writer)

        server = await asyncio.start_server(serve, relay, port)
        self._servers.append(server)

    async def _relay(
        self,
        source: str,
        host: str,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            await self._pass_cut((source, host))
            back, forth = await asyncio.open_connection(host, port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._pump(reader, forth, (source, host)),
            self._pump(back, writer, (host, source)),
        )

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        way: tuple[str, str],
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await self._pass_cut(way)
                writer.write(chunk)
                await writer.drain()
        writer.close()

    async def _pass_cut(self, way: tuple[str, str]) -> None:
        while way in self._cut:
            await asyncio.sleep(POLL_S)
