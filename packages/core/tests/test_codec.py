"""Tests of the codec of frames between routers."""

import contextlib
import hashlib
import math
import secrets
import unittest
from typing import NamedTuple

import msgspec
from chervilwall import cell_messages
from chervilwall import codec as codec_module
from chervilwall.codec import (
    MAC_BYTES,
    FrameCodec,
    pack_config,
    unpack_config,
)
from chervilwall.config import Config, Team, VersionedConfig
from chervilwall.crash_updates import CrashUpdate, CrashUpdates
from chervilwall.edge_messages import (
    EdgeReport,
    PlacementEnded,
    PlacementFirstToken,
    PlacementGranted,
)
from chervilwall.errors import CodecError
from chervilwall.registry import TargetStart
from chervilwall.reported_load import PassedLoad
from chervilwall.store_era import StoreRevision
from chervilwall.untrusted import MAX_ID
from chervilwall.wire_version import new_incarnation, reads_load_reports
from hypothesis import given, settings
from hypothesis import strategies as st

OLD, NEW = b"old-key-of-16-byte", b"new-key-of-16-byte"


class EarlierMemberUpdate(NamedTuple):
    """A MemberUpdate as in versions that did not tell who is ready."""

    name: str
    incarnation: int
    refutation: int
    state: str
    peer_address: str
    caller_address: str
    zone: str


class EarlierFirstToken(NamedTuple):
    """A PlacementFirstToken as in versions without load reports."""

    number: int
    first_token_ms: int
    has_event: bool = False


class EarlierEnded(NamedTuple):
    """A PlacementEnded as in versions without load reports."""

    number: int
    outcome: str


class EarlierGranted(NamedTuple):
    """A PlacementGranted as in versions without load reports."""

    number: int
    target_id: str
    uncached_tokens: int
    prefill_ms: int
    first_token_ms: int
    version: str = ""


class FrameCodecTest(unittest.TestCase):
    def test_returns_what_was_sent(self):
        messages = (
            cell_messages.Enqueue(1, "c#0", "t", "chat", 2.5, 10.0, b"fp"),
            cell_messages.Grant(1, "c#0", "e1"),
            cell_messages.Ping(
                3, 7, suspicions=(cell_messages.Suspicion(b"x", 2, 1.0),)
            ),
        )
        codec = FrameCodec([NEW])
        frame = codec.decode(codec.encode("r1", 5, messages))
        self.assertEqual(frame, ("r1", 5, messages))

    def test_rotates_keys_without_a_stop(self):
        rotating_codec = FrameCodec([NEW, OLD])
        rotating_codec.decode(FrameCodec([OLD]).encode("r1", 1, []))
        rotating_codec.decode(FrameCodec([NEW]).encode("r1", 1, []))
        with self.assertRaises(CodecError):
            FrameCodec([OLD]).decode(rotating_codec.encode("r1", 1, []))

    def test_refuses_a_changed_byte(self):
        codec = FrameCodec([NEW])
        blob = bytearray(codec.encode("r1", 1, [cell_messages.Cancel(1, "c")]))
        for index in range(len(blob)):
            forged = (
                bytes(blob[:index])
                + bytes([blob[index] ^ 1])
                + blob[index + 1 :]
            )
            with self.assertRaises(CodecError):
                codec.decode(forged)

    def test_earlier_versions_and_this_one_read_each_others_members(self):
        encode, decode = msgspec.msgpack.encode, msgspec.msgpack.decode
        unready = cell_messages.MemberUpdate(
            "r1", 1, cell_messages.UNREADY_REFUTATION, "alive", "a", "b", "z"
        )
        read = decode(encode(unready), type=EarlierMemberUpdate)
        self.assertEqual(read, unready)
        self.assertFalse(
            decode(encode(read), type=cell_messages.MemberUpdate).is_ready
        )
        earlier = EarlierMemberUpdate("r1", 1, 0, "alive", "a", "b", "z")
        self.assertTrue(
            decode(encode(earlier), type=cell_messages.MemberUpdate).is_ready
        )

    def test_an_earlier_version_reads_reports_without_new_facts(self):
        # It refuses whole frames with messages that have more fields.
        codec = FrameCodec([NEW])
        report = EdgeReport(
            1, "a:1", "a:1", "a:1", "z", True, 1, StoreRevision(1, 9)
        )
        for sent, count in (
            (report, 8),
            (report._replace(hub=True, cpu=2.0), 15),
            (report._replace(evacuated_zones=("z",)), 20),
        ):
            frame = codec.encode("r1", 1, [sent])
            _, _, items = msgspec.msgpack.decode(frame[MAC_BYTES:])
            self.assertEqual(len(items[0][1]), count)
            self.assertEqual(codec.decode(frame).messages, (sent,))

    def test_fields_that_a_later_version_adds_are_left_out(self):
        codec = FrameCodec([NEW])
        start = TargetStart("t", 1, "127.0.0.1:1")
        report = EdgeReport(
            1, "a:1", "a:1", "a:1", "z", True, 1, StoreRevision()
        )._replace(
            crashes=CrashUpdates((CrashUpdate(start, 1.0, True, "r", (b"f",)),))
        )
        code = codec_module._CODE_BY_TYPE[EdgeReport]
        items = [(code, (*report, "added", {"also": 1}))]
        body = msgspec.msgpack.encode(("r1", 1, items))
        frame = codec.decode(_prepend_mac(body))
        self.assertEqual(frame.messages, (report,))
        items = [(code, (*report[:-1], 5, "added"))]
        body = msgspec.msgpack.encode(("r1", 1, items))
        with self.assertRaises(CodecError):
            codec.decode(_prepend_mac(body))

    def test_earlier_versions_read_messages_without_load_reports(self):
        # Their decoder rejects a frame with a field that it does not know, even
        # if that has its default.
        codec = FrameCodec([NEW])
        for message, earlier in (
            (PlacementFirstToken(1, 20, True), EarlierFirstToken),
            (PlacementFirstToken(1, 20), EarlierFirstToken),
            (PlacementEnded(1, "completed"), EarlierEnded),
            (PlacementGranted(1, "t", 2, 3, 4, "v1"), EarlierGranted),
        ):
            frame = codec.encode("r1", 1, [message])
            (item,) = msgspec.msgpack.decode(frame[MAC_BYTES:])[2]
            read = msgspec.convert(item[1], earlier)
            self.assertEqual(read, message[: len(read)])

    def test_messages_of_earlier_versions_have_no_load_report(self):
        encode, decode = msgspec.msgpack.encode, msgspec.msgpack.decode
        ended = decode(encode(EarlierEnded(1, "lost")), type=PlacementEnded)
        self.assertIsNone(ended.load)
        first = decode(
            encode(EarlierFirstToken(1, 20, True)), type=PlacementFirstToken
        )
        self.assertEqual(first, PlacementFirstToken(1, 20, True, None))
        granted = EarlierGranted(1, "t", 2, 3, 4, "v1")
        read = decode(encode(granted), type=PlacementGranted)
        self.assertEqual(read.load_age_ms, -1)

    def test_load_reports_travel_whole(self):
        codec = FrameCodec([NEW])
        load = PassedLoad(3, 0, 12, 250, 40)
        messages = (
            PlacementFirstToken(1, 20, False, load),
            PlacementEnded(1, "completed", load),
        )
        frame = codec.decode(codec.encode("r1", 1, messages))
        self.assertEqual(frame.messages, messages)

    def test_only_later_versions_state_that_they_read_load_reports(self):
        for _ in range(100):
            incarnation = new_incarnation()
            self.assertTrue(reads_load_reports(incarnation))
            self.assertLessEqual(incarnation, MAX_ID)
            self.assertFalse(reads_load_reports(secrets.randbits(62)))

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.binary(max_size=300), st.booleans())
    def test_any_bytes_decode_or_are_refused(self, blob, signed):
        codec = FrameCodec([NEW])
        if signed:
            empty_frame = codec.encode("r1", 1, [])
            blob = _prepend_mac(blob) if blob else empty_frame
        with contextlib.suppress(CodecError):
            codec.decode(blob)

    def test_config_travels_compressed(self):
        teams = tuple(Team(f"t{i}", 1.0, ("a" * 64,)) for i in range(600))
        versioned = VersionedConfig(9, Config(teams=teams))
        push = pack_config(versioned)
        self.assertEqual(unpack_config(push), versioned)
        with self.assertRaises(CodecError):
            unpack_config(push._replace(blob=push.blob[:50]))

    def test_refuses_numbers_that_are_not_finite(self):
        codec = FrameCodec([NEW])
        start = TargetStart("t", 1, "127.0.0.1:1")
        report = EdgeReport(
            1, "a:1", "a:1", "a:1", "z", True, 1, StoreRevision()
        )
        codec.decode(codec.encode("r1", 1, [report]))
        for number in (math.nan, math.inf, -math.inf, 1e308):
            crash = CrashUpdate(start, number, True, "r", (b"f",))
            for fields in (
                {"cpu": number},
                {"requested_tokens": {"team": number}},
                {"granted_tokens": {"team": number}},
                {"crashes": CrashUpdates((crash,))},
            ):
                frame = codec.encode("r1", 1, [report._replace(**fields)])
                with self.subTest(fields), self.assertRaises(CodecError):
                    codec.decode(frame)


def _prepend_mac(body):
    return hashlib.blake2b(body, key=NEW, digest_size=16).digest() + body
