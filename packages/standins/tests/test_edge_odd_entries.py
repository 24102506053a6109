"""Tests of odd registrations that another program writes to the store.

An odd entry names no target, and the others hold: targets that are registered
before or afterwards serve, and no request is left without an answer.
"""

import asyncio
import json
import logging
import random
import unittest

import msgspec
from chervilwall import events
from chervilwall.edge_messages import StoreSnapshot
from chervilwall.errors import CodecError
from chervilwall_standins.users.fleet import EdgeFleet
from chervilwall_standins.users.store import RawJson
from chervilwall_standins.users.target import FakeTarget
from configuration import StoreDecoder

SPEC = FakeTarget("t", "plain").spec(address="127.0.0.9:9")


def spec_with(**raw_fields):
    """Returns an encoded registration with some fields given as encoded."""
    members = {k: json.dumps(v) for k, v in SPEC.items()} | raw_fields
    return "{" + ",".join(f'"{k}":{v}' for k, v in members.items()) + "}"


def nested(depth, opening="[", closing="]"):
    return opening * depth + closing * depth


def digits(count):
    return "9" * count


ODD = {
    "5,000 arrays in an unknown field": spec_with(extra=nested(5000)),
    "100,000 arrays in an unknown field": spec_with(extra=nested(100_000)),
    "100,000 arrays in a known field": spec_with(slots=nested(100_000)),
    "5,000 arrays in a known field": spec_with(zone=nested(5000)),
    "5,000 objects": spec_with(extra=nested(5000, '{"a":[', "]}")),
    "100,000 arrays instead of an object": nested(100_000),
    "slots of 400 digits": spec_with(slots=digits(400)),
    "slots of 5,000 digits": spec_with(slots=digits(5000)),
    "slots of 1e400": spec_with(slots="1e400"),
    "slots of 1e308": spec_with(slots="1e308"),
    "slots of 2**63": spec_with(slots=str(2**63)),
    "negative slots": spec_with(slots="-3"),
    "slots of minus 400 digits": spec_with(slots="-" + digits(400)),
    "born of 400 digits": spec_with(born=digits(400)),
    "born of 5,000 digits": spec_with(born=digits(5000)),
    "born of minus 1": spec_with(born="-1"),
    "warm-up of 1e308": spec_with(cold_remaining_ms="1e308"),
    "warm-up of 1e400": spec_with(cold_remaining_ms="1e400"),
    "warm-up of 400 digits": spec_with(cold_remaining_ms=digits(400)),
    "warm-up of NaN": spec_with(cold_remaining_ms="NaN"),
    "NaN in an unknown field": spec_with(extra="NaN"),
    "Infinity": spec_with(slots="Infinity"),
    "minus Infinity in an unknown field": spec_with(extra="[-Infinity]"),
    "lone surrogate": spec_with(zone='"\\ud800"'),
    "lone surrogate in an unknown field": spec_with(extra='"\\udfff"'),
    "bytes that are not UTF-8": spec_with(backend='"\xff\xfe"'),
    "control character": spec_with(zone='"\x00"'),
    "port 0": spec_with(address='"127.0.0.9:0"'),
    "port 99999": spec_with(address='"127.0.0.9:99999"'),
    "port 65536": spec_with(address='"127.0.0.9:65536"'),
    "port of 400 digits": spec_with(address=f'"127.0.0.9:{digits(400)}"'),
    "port of 5,000 digits": spec_with(address=f'"127.0.0.9:{digits(5000)}"'),
    "port in Arabic digits": spec_with(address='"127.0.0.9:\\u0661\\u0662"'),
    "superscript port": spec_with(address='"127.0.0.9:\\u00b2"'),
    "port with a sign": spec_with(address='"127.0.0.9:+80"'),
    "host with a null byte": spec_with(address='"127.0.0.9\\u0000:80"'),
    "host of 300 letters": spec_with(address=json.dumps("h" * 300 + ":80")),
    "host with a line break": spec_with(address='"127.0.0.9\\r\\n:80"'),
    "no host": spec_with(address='":80"'),
    "enormous string": spec_with(zone=json.dumps("z" * 900_000)),
    "enormous unknown string": spec_with(extra=json.dumps("z" * 900_000)),
    "empty service": spec_with(backend='""'),
    "unknown state": spec_with(state=json.dumps("s" * 900_000)),
    "no object": "7",
    "string without an end": spec_with(extra='"'),
    "array without an end": spec_with(extra="[[["),
    "too many closing brackets": spec_with(extra="]}}"),
    "mixed brackets": spec_with(extra='[{"a":1]]'),
}
ODD |= {
    f"no {field}": json.dumps({k: v for k, v in SPEC.items() if k != field})
    for field in SPEC
}
ODD |= {
    "sequence of another type": spec_with(sequence='"many"'),
    "version of another type": spec_with(version="[1]"),
}
MAX_REASON_CHARS = 300


class OddRegistrationDecoderTest(unittest.TestCase):
    def test_odd_registrations_are_refused_with_a_short_reason(self):
        decoder = StoreDecoder()
        decoder.decode_registration("t", spec_with().encode())
        for label, spec in ODD.items():
            with self.subTest(label):
                with self.assertRaises(CodecError) as caught:
                    decoder.decode_registration("t", spec.encode("latin-1"))
                self.assertLess(len(str(caught.exception)), MAX_REASON_CHARS)

    def test_a_name_that_no_header_can_carry_is_refused(self):
        for name in ("", "a b", "a\r\nX: 1", "\u0661", "n" * 300):
            with self.subTest(name[:20]), self.assertRaises(CodecError):
                StoreDecoder().decode_registration(name, spec_with().encode())

    def test_registrations_with_bounds_at_their_limits_are_taken(self):
        decoder = StoreDecoder()
        for fields in (
            {"slots": "1000000"},
            {"slots": "0"},
            {"born": "253402300799999"},
            {"cold_remaining_ms": "315360000000"},
            {"cold_remaining_ms": "-1.5"},
            {"address": '"127.0.0.9:65535"'},
            {"address": '"[::1]:1"'},
            {"address": '"a-host.example:80"'},
            {"zone": '""'},
            {"extra": nested(500)},
        ):
            with self.subTest(fields):
                value = spec_with(**fields).encode()
                decoder.decode_registration("t", value)

    def test_random_registrations_are_decoded_or_refused(self):
        rng = random.Random(39)
        values = (
            "NaN", "-1", "1e308", "1e400", "null", '""', '"\\ud800"', "[]",
            digits(400), digits(5000), nested(3000), '"\xff"', "{", "0", "-0.0",
            '"127.0.0.1:1"', '"x:99999"', '"\\u0000:1"', "9007199254740993",
        )  # fmt: skip
        decoder = StoreDecoder()
        for _ in range(2000):
            names = rng.sample([*SPEC, "extra"], rng.randint(1, 3))
            spec = spec_with(**{n: rng.choice(values) for n in names})
            try:
                target = decoder.decode_registration(
                    "t", spec.encode("latin-1")
                )
            except CodecError:
                continue
            # What is taken fits into messages to peers and into floats.
            msgspec.msgpack.encode(target)
            self.assertGreaterEqual(float(target.slots), 0.0)
            self.assertTrue(target.service)


class OddEntryCase(unittest.IsolatedAsyncioTestCase):
    routers = 1

    async def asyncSetUp(self):
        self.target = FakeTarget("p0", "plain")
        self.fleet = EdgeFleet(self.target, routers=self.routers)
        await self.enterAsyncContext(self.fleet)

    def known(self, router):
        return set(router.registry.all())

    async def wait_for(self, *names):
        await self.fleet.wait_until(
            lambda: all(
                self.known(r) == set(names) for r in self.fleet.routers
            ),
            5.0,
        )

    async def assert_serves(self):
        """Checks that each router answers requests to the service."""
        for number in range(self.routers):
            async with asyncio.timeout(5.0):
                response = await self.fleet.call("/read/x", router=number)
            self.assertEqual(response.status, 200)


class OddRegistrationTest(OddEntryCase):
    async def check_entry(self, spec):
        """Writes an odd entry, and then one of another target."""
        other = FakeTarget("p1", "plain")
        async with other:
            await self.fleet.store.put("servers", "odd", RawJson(spec))
            await self.fleet.store.put("servers", "p1", other.spec())
            await self.wait_for("p0", "p1")
            await self.assert_serves()
            await self.fleet.store.delete("servers", "odd")
            await self.fleet.store.delete("servers", "p1")
            await self.wait_for("p0")

    async def test_an_odd_entry_in_a_watch_spoils_no_other(self):
        for label, spec in ODD.items():
            with self.subTest(label):
                await self.check_entry(spec)

    async def test_an_odd_entry_in_a_list_spoils_no_other(self):
        other = FakeTarget("z1", "plain")
        await self.enterAsyncContext(other)
        await self.fleet.store.put("servers", "z1", other.spec())
        for number, spec in enumerate(ODD.values()):
            name = f"odd{number}"
            await self.fleet.store.put("servers", name, RawJson(spec))
        # A router that starts reads all pages, with three objects in each.
        self.fleet.targets = (*self.fleet.targets, other)
        router = await self.fleet.add_router("late")
        await self.fleet.wait_until(lambda: router.targets.revision, 5.0)
        self.assertEqual(self.known(router), {"p0", "z1"})
        await self.fleet.store.delete("servers", "z1")
        await self.wait_for("p0")
        await self.assert_serves()

    async def test_a_list_that_is_read_again_spoils_no_other(self):
        for number, spec in enumerate(ODD.values()):
            name = f"odd{number}"
            await self.fleet.store.put("servers", name, RawJson(spec))
        await self.fleet.store.compact_history()
        await self.fleet.store.put("servers", "p1", self.target.spec())
        await self.wait_for("p0", "p1")

    async def test_a_target_whose_entry_becomes_odd_is_not_used(self):
        for label in ("NaN in an unknown field", "port 0", "no object"):
            with self.subTest(label):
                entry = RawJson(ODD[label])
                await self.fleet.store.put("servers", "p0", entry)
                await self.wait_for()
                await self.fleet.store.put("servers", "p0", self.target.spec())
                await self.wait_for("p0")

    async def test_an_odd_entry_is_logged_once_and_briefly(self):
        spec = RawJson(ODD["port of 5,000 digits"])
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, logging.CRITICAL)
        with self.assertLogs(level="WARNING") as caught:
            for _ in range(3):
                await self.fleet.store.put("servers", "odd", spec)
                await self.fleet.store.put("servers", "p1", self.target.spec())
                await self.wait_for("p0", "p1")
                await self.fleet.store.delete("servers", "p1")
                await self.wait_for("p0")
        lines = [
            record.fields
            for record in caught.records
            if record.event == events.TARGET_REFUSED.number
        ]
        self.assertEqual(len(lines), self.routers)
        self.assertEqual(lines[0]["target"], "odd")
        self.assertLess(len(lines[0]["reason"]), MAX_REASON_CHARS)


class OddRegistrationFleetTest(OddRegistrationTest):
    routers = 3

    async def test_an_odd_entry_in_a_peers_snapshot_spoils_no_other(self):
        router = self.fleet.routers[0]
        sound = spec_with().encode()
        entries = [
            (f"odd{number}", spec.encode("latin-1"))
            for number, spec in enumerate(ODD.values())
        ]
        revision = router.targets.revision
        newer = revision._replace(number=revision.number + 1)
        snapshot = StoreSnapshot(0, b"", newer, (*entries, ("t", sound)))
        router.targets.apply_snapshot(snapshot)
        self.assertEqual(self.known(router), {"t"})


del OddEntryCase


if __name__ == "__main__":
    unittest.main()
