"""Tests of bad input from callers."""

import asyncio
import unittest

from chervilwall_standins.users.fleet import HOST, KEY, UsersFleet
from chervilwall_standins.users.target import UsersTarget


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


class BadInputTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.target = UsersTarget("p0", "plain")
        self.fleet = UsersFleet(self.target)
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
                self.assertEqual(self.target.seen, [])
                caller.close()

    async def test_a_chunked_body_arrives_with_its_bytes(self):
        caller = await self.fleet.connect()
        chunks = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        caller.writer.write(
            raw_request("Transfer-Encoding: chunked", body=chunks)
        )
        answer = await caller.receive()
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.target.seen[0].body, b"abcde")
        caller.close()

    async def test_bytes_after_a_request_are_the_next_request(self):
        caller = await self.fleet.connect()
        one = raw_request("Content-Length: 3", body=b"abc")
        caller.writer.write(one + one.replace(b"r1", b"r2"))
        first, second = await caller.receive(), await caller.receive()
        self.assertTrue(first.body.endswith(b":r1"))
        self.assertTrue(second.body.endswith(b":r2"))
        caller.close()
