"""TCP relays between routers that simulate network partitions."""

import asyncio
import contextlib
import threading
from collections.abc import Mapping

POLL_INTERVAL_S = 0.02
CHUNK_BYTES = 65_536


class PeerRelays:
    """Relay TCP between routers over links that can be cut in each direction.

    Data sent over a cut link is buffered and delivered once it is restored,
    as TCP retransmission would do. The relays run in a thread of their own.
    """

    def __init__(self) -> None:
        self._cut_links: set[tuple[str, str]] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._servers: list[asyncio.Server] = []

    def __repr__(self) -> str:
        return f"PeerRelays(cut={len(self._cut_links)})"

    def start(self, relays: Mapping[str, str], port: int) -> None:
        """Starts a relay in front of each router.

        Args:
            relays (Mapping): IP address of the relay by that of the router.
            port (int): Port on which both routers and relays listen.
        """
        self._thread.start()
        for host, relay in relays.items():
            listening = self._listen(host, relay, port)
            asyncio.run_coroutine_threadsafe(listening, self._loop).result(10)

    def stop(self) -> None:
        """Stops the event loop of the relays and joins its thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def cut(self, source: str, destination: str) -> None:
        """Cuts the link from one router to another, given by IP address."""
        self._cut_links.add((source, destination))

    def isolate(self, host: str, others: list[str]) -> None:
        """Cuts the links between a router and others in both directions.

        Routers are given by IP address.
        """
        for other in others:
            self.cut(host, other)
            self.cut(other, host)

    def heal(self) -> None:
        """Restores all links."""
        self._cut_links.clear()

    async def _listen(self, host: str, relay: str, port: int) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            source = writer.get_extra_info("peername")[0]
            await self._relay_connection(source, host, port, reader, writer)

        server = await asyncio.start_server(serve, relay, port)
        self._servers.append(server)

    async def _relay_connection(
        self,
        source: str,
        host: str,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            await self._wait_while_cut((source, host))
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, port
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._copy_bytes(reader, upstream_writer, (source, host)),
            self._copy_bytes(upstream_reader, writer, (host, source)),
        )

    async def _copy_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link: tuple[str, str],
    ) -> None:
        """Copies one direction of a connection until it ends."""
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await self._wait_while_cut(link)
                writer.write(chunk)
                await writer.drain()
        writer.close()

    async def _wait_while_cut(self, link: tuple[str, str]) -> None:
        """Waits until a link, a source and destination address, is not cut."""
        while link in self._cut_links:
            await asyncio.sleep(POLL_INTERVAL_S)
