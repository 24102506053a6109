"""Tests of malformed requests from callers."""

import asyncio
import random
import unittest

from chervilwall_standins.users.fleet import HOST, KEY, EdgeFleet
from chervilwall_standins.users.target import FakeTarget


def raw_request(*lines, body=b""):
    head = [
        "POST /read/x HTTP/1.1",
        f"Host: {HOST}",
        "Attempt-Id: r1",
        f"Authorization: Token {KEY}",
        *lines,
    ]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


BAD_REQUESTS = {
    "two lengths": raw_request(
        "Content-Length: 3", "Content-Length: 4", body=b"abcd"
    ),
    "length and chunks": raw_request(
        "Content-Length: 3", "Transfer-Encoding: chunked", body=b"0\r\n\r\n"
    ),
    "a negative length": raw_request("Content-Length: -1"),
    "an unknown coding": raw_request("Transfer-Encoding: gzip, x"),
    "a bad chunk": raw_request("Transfer-Encoding: chunked", body=b"zz\r\n"),
    "no request line": b"\x00\x01garbage\r\n\r\n",
    "a large body": raw_request("Content-Length: 99999999"),
    "a large head": raw_request("X: " + "y" * 6000, "Content-Length: 0"),
    "no id": raw_request("Content-Length: 0").replace(
        b"Attempt-Id: r1\r\n", b""
    ),
    "two hosts": raw_request("Host: b.example", "Content-Length: 0"),
}


SEED = 11
MUTANTS = 200
INSERTS = (b"\r\n", b"\n", b"\r", b":", b" ", b"\t", b"\0", b"\xff", b"0", b"-")


def mutate(data, rng):
    """Returns a request with a few random bytes replaced or deleted."""
    blob = bytearray(data)
    for _ in range(rng.randint(1, 3)):
        at = rng.randrange(len(blob))
        if rng.random() < 0.5:
            blob[at : at + rng.randint(0, 3)] = rng.choice(INSERTS)
        else:
            del blob[at : at + rng.randint(1, 4)]
    return bytes(blob)


class BadInputTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.target = FakeTarget("p0", "plain")
        self.fleet = EdgeFleet(self.target)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)

    async def test_it_reaches_no_target_and_ends_the_connection(self):
        for name, data in BAD_REQUESTS.items():
            with self.subTest(name):
                caller = await self.fleet.connect()
                caller.writer.write(data)
                async with asyncio.timeout(2.0):
                    reply = await caller.reader.read()
                status = int(reply.split()[1]) if reply else 0
                self.assertTrue(status == 0 or 400 <= status < 500, reply)
                self.assertEqual(self.target.received, [])
                caller.close()

    async def test_a_chunked_body_arrives_with_its_bytes(self):
        caller = await self.fleet.connect()
        chunks = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        caller.writer.write(
            raw_request("Transfer-Encoding: chunked", body=chunks)
        )
        response = await caller.receive()
        self.assertEqual(response.status, 200)
        self.assertEqual(self.target.received[0].body, b"abcde")
        caller.close()

    async def test_bytes_after_a_request_are_the_next_request(self):
        caller = await self.fleet.connect()
        request = raw_request("Content-Length: 3", body=b"abc")
        caller.writer.write(request + request.replace(b"r1", b"r2"))
        first, second = await caller.receive(), await caller.receive()
        self.assertTrue(first.body.endswith(b":r1"))
        self.assertTrue(second.body.endswith(b":r2"))
        caller.close()

    async def test_no_changed_byte_stops_the_router_or_reaches_others(self):
        rng = random.Random(SEED)
        valid = raw_request("Content-Length: 3", body=b"abc")
        for _ in range(MUTANTS):
            data = mutate(valid, rng)
            with self.subTest(data=data):
                await self.exchange(data)
        for request in self.target.received:
            self.assertIn(request.body, (b"abc", b"ab", b"a", b""))
        response = await self.fleet.call("/read/x", request_id="after")
        self.assertEqual(response.status, 200)

    async def exchange(self, data):
        """Sends bytes and checks that any reply is an HTTP response."""
        caller = await self.fleet.connect()
        caller.writer.write(data)
        caller.writer.write_eof()
        async with asyncio.timeout(2.0):
            reply = await caller.reader.read()
        caller.close()
        if reply:
            self.assertTrue(reply.startswith(b"HTTP/1.1 "), reply)
