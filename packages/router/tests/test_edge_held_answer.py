"""Tests of an answer that is held back until a receiver takes it."""

import asyncio
import unittest
from unittest import mock

from chervilwall.errors import CodecError
from chervilwall.http_messages import InboundRequest, ResponseHead
from chervilwall_router.edge.exchange import Exchange
from chervilwall_router.edge.held_answer import HeldAnswer
from headers import HeaderFormat

HEAD = ResponseHead(200, signed=True)
ANSWER = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Signature: s\r\n"
    b"Content-Length: 4\r\n\r\nbody"
)


def make_receiver(drained=None):
    receiver = mock.MagicMock(kept_bytes=0, awaits_event=False)
    receiver.receive_data.return_value = drained
    return receiver


class HeldAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.answer = HeldAnswer()

    async def test_reading_pauses_until_the_answer_is_released(self):
        self.answer.receive_head(HEAD)
        self.assertTrue(self.answer.arrival.done())
        paused = self.answer.receive_data(b"one ")
        self.assertFalse(paused.done())
        self.answer.receive_data(b"two")
        self.assertEqual(self.answer.kept_bytes, 7)
        receiver = make_receiver()
        self.answer.release(receiver)
        receiver.receive_head.assert_called_once_with(HEAD)
        receiver.receive_data.assert_called_once_with(b"one two")
        self.assertTrue(paused.done())
        self.assertIsNone(self.answer.receive_data(b"three"))
        receiver.receive_data.assert_called_with(b"three")

    async def test_reading_pauses_on_for_a_slow_caller(self):
        self.answer.receive_head(HEAD)
        paused = self.answer.receive_data(b"one")
        drained = asyncio.get_running_loop().create_future()
        self.answer.release(make_receiver(drained))
        self.assertFalse(paused.done())
        drained.set_result(None)
        await asyncio.sleep(0)
        self.assertTrue(paused.done())

    async def test_an_answer_without_a_head_is_passed_on_as_it_comes(self):
        receiver = make_receiver()
        self.answer.release(receiver)
        receiver.receive_head.assert_not_called()
        self.answer.receive_head(HEAD)
        receiver.receive_head.assert_called_once_with(HEAD)

    async def test_a_whole_answer_that_its_receiver_rejects_is_not_whole(self):
        conn = mock.MagicMock(has_carried_request=False, request_ids=[])
        conn.closed.return_value = False
        conn.has_unsent_data.return_value = False
        exchange = Exchange(
            conn, HeaderFormat(), self.answer, lambda head: None
        )
        req = InboundRequest("r1", "POST", "h", "/x", (), b"", 0.0)
        done = exchange.start(req, ())
        exchange.receive(ANSWER)
        await done
        self.assertTrue(exchange.is_complete)
        receiver = make_receiver()
        receiver.receive_data.side_effect = CodecError("odd", step="read")
        with self.assertRaises(CodecError):
            self.answer.release(receiver)
        exchange.reject("odd")
        self.assertFalse(exchange.is_complete or exchange.reusable)
        self.assertEqual(exchange.reason, "odd")


if __name__ == "__main__":
    unittest.main()
