"""Test of the memory that the end of a buffered response takes."""

import tracemalloc
import unittest
from unittest import mock

from chervilwall.http_messages import ResponseHead
from chervilwall_router.edge.caller_response import CallerResponse
from chervilwall_router.edge.relay import BufferedRelay

PART_BYTES = 1 << 14
PARTS = 60


class RelayMemoryTest(unittest.TestCase):
    def test_the_parts_of_a_body_are_not_kept_beside_two_copies(self):
        sink = mock.Mock()
        sink.closed.return_value = False
        sink.write = lambda data: None
        relay = BufferedRelay(CallerResponse(sink, lambda: False), lambda: None)
        relay.receive_head(ResponseHead(200, signed=True))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(PARTS):
            relay.receive_data(bytes(PART_BYTES))
        relay.finish()
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertLess(peak_bytes, 2.5 * PARTS * PART_BYTES)
