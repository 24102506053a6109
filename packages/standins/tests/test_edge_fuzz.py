"""Fuzz tests of the decoders for what other programs write to the store.

Any input is either decoded or rejected with the documented exception.
"""

import asyncio
import json
import unittest
from unittest import mock

import object_client
from chervilwall.errors import CodecError, PlatformError
from chervilwall.protocol import ObjectList
from chervilwall.routing import RoutingTable
from chervilwall_router.edge.http_call import CallResponse
from chervilwall_router.edge.settings import StoreSettings
from chervilwall_standins.users.fleet import make_config
from chervilwall_standins.users.target import FakeTarget
from configuration import StoreDecoder
from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=20)
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


def paths_of(value, prefix=()):
    """Generates the paths of a JSON value and of all values within it."""
    yield prefix
    children = ()
    if isinstance(value, dict):
        children = value.items()
    elif isinstance(value, list):
        children = enumerate(value)
    for key, child in children:
        yield from paths_of(child, (*prefix, key))


def replace_at(value, path, new):
    """Returns a copy of a JSON value with the value at a path replaced."""
    if not path:
        return new
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = replace_at(copy[path[0]], path[1:], new)
    return copy


CONFIG = json.loads(json.dumps(make_config(3)))
TARGET = json.loads(json.dumps(FakeTarget("t", "model").spec()))
CONFIG_PATHS = list(paths_of(CONFIG))
TARGET_PATHS = list(paths_of(TARGET))


class DecoderFuzzTest(unittest.TestCase):
    decoder = StoreDecoder()

    def check_routing(self, value):
        try:
            table = self.decoder.decode_configuration(value)
        except CodecError:
            return
        self.assertIsInstance(table, RoutingTable)
        table.find_route("a.example", "/read/x")

    def check_target(self, value):
        try:
            target = self.decoder.decode_registration("t", value)
        except CodecError:
            return
        self.assertEqual(target.id, "t")
        self.assertIsInstance(target.slots, int)

    @given(st.binary(max_size=200))
    def test_any_bytes(self, blob):
        self.check_routing(blob)
        self.check_target(blob)

    @settings(max_examples=300)
    @given(st.sampled_from(CONFIG_PATHS), VALUES)
    def test_a_configuration_with_any_value_at_any_place(self, path, new):
        self.check_routing(json.dumps(replace_at(CONFIG, path, new)).encode())

    @settings(max_examples=300)
    @given(st.sampled_from(TARGET_PATHS), VALUES)
    def test_a_registration_with_any_value_at_any_place(self, path, new):
        self.check_target(json.dumps(replace_at(TARGET, path, new)).encode())


class StoreAnswerFuzzTest(unittest.TestCase):
    def check_response(self, status, body):
        """Has the client read a response of the store in each of its calls."""
        response = CallResponse(status, HTTPHeaders(), body)
        client = object_client.ObjectClient(StoreSettings("127.0.0.1:1"))

        async def call_all():
            for call in (
                client.list_objects("servers"),
                client.watch_objects("servers", 1, 0.1),
                client.read("config", "main"),
            ):
                try:
                    result = await call
                except PlatformError:
                    continue
                if isinstance(result, ObjectList):
                    self.assertIsInstance(result.revision, int)

        with mock.patch.object(
            object_client, "send_request", mock.AsyncMock(return_value=response)
        ):
            asyncio.run(call_all())

    @given(st.sampled_from([200, 204, 302, 404, 409, 410, 429, 500, 503]),
           st.binary(max_size=200))  # fmt: skip
    def test_any_bytes(self, status, body):
        self.check_response(status, body)

    @settings(max_examples=200)
    @given(
        st.fixed_dictionaries(
            {},
            optional={
                "items": VALUES,
                "events": VALUES,
                "has_more": VALUES,
                "store_revision": VALUES,
                "metadata": VALUES,
                "spec": VALUES,
            },
        )
    )
    def test_any_values_of_known_fields(self, response):
        self.check_response(200, json.dumps(response).encode())
