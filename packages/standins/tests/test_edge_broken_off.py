"""Tests that an answer that broke off does not reach its caller as complete.

Targets send answers without length or chunks, which end with their connection,
and end them too early. A process that is killed closes its connections without
an error, so their end alone does not show that an answer is whole.
"""

import unittest

from chervilwall_standins.users import target as t
from chervilwall_standins.users.fleet import KEY, EdgeFleet
from chervilwall_standins.users.target import FakeTarget, UnframedEnd

HALF_EVENT = b"id: 3\ndat"
STREAM_HEADERS = {"token_usage": "100,30", "prompt_prefix": "aa:50,bb:50"}


class BrokenOffStreamsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.models = [FakeTarget(f"m{i}", "model", events=6) for i in range(2)]
        self.fleet = EdgeFleet(*self.models)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)

    async def call(self, path, **options):
        return await self.fleet.call(path, **STREAM_HEADERS, **options)

    async def call_broken(self, path, end):
        """Sends a stream to targets that end it in a way, unless resumed."""
        for model in self.models:
            model.unframed = end
        return await self.call(path)

    def event_ids(self, response):
        lines = response.body.split(b"\n")
        return [int(x[4:]) for x in lines if x.startswith(b"id: ")]

    def assert_whole(self, response):
        self.assertEqual(self.event_ids(response), [1, 2, 3, 4, 5, 6])
        self.assertTrue(response.is_complete)

    def assert_broken_off(self, response):
        self.assertFalse(response.is_complete)
        self.assertNotIn(HALF_EVENT, response.body)

    async def test_a_stream_that_ends_inside_an_event_is_not_complete(self):
        end = UnframedEnd(rest=HALF_EVENT)
        self.assert_broken_off(await self.call_broken("/chat/x", end))

    async def test_a_stream_that_a_crash_ends_inside_an_event_is_neither(self):
        end = UnframedEnd(rest=HALF_EVENT, crashes=True)
        self.assert_broken_off(await self.call_broken("/chat/x", end))

    async def test_a_resumable_stream_that_ends_inside_an_event_goes_on(self):
        end = UnframedEnd(rest=HALF_EVENT)
        self.assert_whole(await self.call_broken("/draft/x", end))

    async def test_a_resumable_stream_goes_on_after_a_crash_inside_an_event(
        self,
    ):
        end = UnframedEnd(rest=HALF_EVENT, crashes=True)
        self.assert_whole(await self.call_broken("/draft/x", end))

    async def test_a_last_chunk_inside_an_event_does_not_complete_it(self):
        for model in self.models:
            model.mode = t.ENDED_INSIDE_EVENT
        self.assert_broken_off(await self.call("/chat/x"))

    async def test_a_stream_of_a_target_that_ended_is_not_complete(self):
        end = UnframedEnd(crashes=True)
        self.assert_broken_off(await self.call_broken("/chat/x", end))

    async def test_a_resumable_stream_of_a_target_that_ended_goes_on(self):
        end = UnframedEnd(crashes=True)
        self.assert_whole(await self.call_broken("/draft/x", end))

    async def test_a_404_does_not_complete_a_stream_that_broke_off(self):
        for model in self.models:
            model.mode = t.TRUNCATED
            model.rejects_resumption = True
        self.assert_broken_off(await self.call("/draft/x"))

    async def test_an_error_event_neither_joins_nor_completes_a_stream(self):
        error = b"event: error\ndata: out of memory\n\n"
        for body in (error, b"id: 3\ndata: 3\ndata: v1\n\n" + error):
            for length in (len(body), -1, None):
                with self.subTest(body=body, length=length):
                    await self.check_error_event(body, length)

    async def check_error_event(self, body, length):
        for model in self.models:
            model.mode = t.TRUNCATED
            model.resumption_body = body
            model.resumption_length = length
        for options in ({}, {"last_event_id": "2"}):
            response = await self.call("/draft/x", **options)
            self.assertNotIn(b"error", response.body)
            is_failure = response.status == 502
            self.assertTrue(is_failure or not response.is_complete)

    async def test_an_answer_that_ends_inside_its_head_is_none(self):
        # Inside the status line, at its end, in a header, before the last line
        # end.
        for head_bytes in (3, 12, 14, 15, 40, 120, 163, -1, -2, -3):
            for resets in (False, True):
                for path in ("/chat/x", "/draft/x"):
                    for model in self.models:
                        model.head_bytes = head_bytes
                        model.resets_in_head = resets
                    with self.subTest(head_bytes=head_bytes, resets=resets):
                        response = await self.call(path)
                        self.assertEqual(response.status, 502)

    async def test_a_comment_in_a_continuation_is_passed_on(self):
        events = b"id: 5\ndata: 5\n\nid: 6\ndata: 6\n\n"
        for model in self.models:
            model.resumption_body = b": still there\n\n" + events
        response = await self.call("/draft/x", last_event_id="4")
        self.assertEqual(self.event_ids(response), [5, 6])
        self.assertTrue(response.is_complete)

    async def test_a_body_that_is_no_event_stream_is_passed_on_whole(self):
        for model in self.models:
            model.events, model.mode = 0, t.JSON_BODY
        response = await self.call("/chat/x")
        self.assertEqual((response.status, response.is_complete), (200, True))
        self.assertTrue(response.body.endswith(b":r1"))

    async def test_a_large_body_that_is_no_event_stream_is_passed_on_whole(
        self,
    ):
        for mode in (t.LARGE_BODY, t.LARGE_UNFRAMED):
            for model in self.models:
                model.events, model.mode = 0, mode
            for path in ("/chat/x", "/draft/x"):
                with self.subTest(mode=mode, path=path):
                    response = await self.call(path)
                    self.assertEqual(response.status, 200)
                    self.assertTrue(response.is_complete)
                    self.assertEqual(len(response.body), t.LARGE_BYTES)

    async def test_no_stream_follows_a_large_body_that_broke_off(self):
        for model in self.models:
            model.events, model.mode = 0, t.LARGE_BROKEN
        response = await self.call("/draft/x")
        self.assertEqual(sum(len(m.executed) for m in self.models), 1)
        self.assertFalse(response.is_complete)

    async def test_a_repeated_stream_without_length_is_told_from_its_copy(self):
        end = UnframedEnd(is_whole=True, repeats=True)
        response = await self.call_broken("/chat/x", end)
        self.assertNotIn(b"HTTP/1.1", response.body)
        self.assertFalse(response.is_complete)
        self.assert_whole(await self.call_broken("/draft/x", end))

    async def test_a_reset_stream_is_not_complete(self):
        end = UnframedEnd(rest=HALF_EVENT, resets=True)
        self.assert_broken_off(await self.call_broken("/chat/x", end))

    async def test_a_stream_without_framing_is_not_framed_for_its_caller(self):
        # The target is still there, so nothing shows whether it is whole.
        for is_whole in (True, False):
            with self.subTest(is_whole=is_whole):
                end = UnframedEnd(is_whole=is_whole)
                response = await self.call_broken("/chat/x", end)
                self.assertEqual(response.status, 200)
                self.assertFalse(response.is_framed)
                self.assertTrue(response.is_complete)

    async def test_a_whole_stream_without_framing_is_served(self):
        for model in self.models:
            model.unframed = UnframedEnd(is_whole=True)
        for path in ("/chat/x", "/draft/x"):
            self.assert_whole(await self.call(path))
        self.assertEqual(sum(len(m.executed) for m in self.models), 2)

    async def test_an_http_1_0_caller_sees_that_a_stream_broke_off(self):
        for model in self.models:
            model.mode = t.TRUNCATED
        caller = await self.fleet.connect()
        self.addCleanup(caller.close)
        caller.writer.write(
            b"GET /chat/x HTTP/1.0\r\nHost: a.example\r\nAttempt-Id: r1\r\n"
            b"Authorization: Token %b\r\nTimeout-Remaining: 2000\r\n\r\n"
            % KEY.encode()
        )
        with self.assertRaises(ConnectionResetError):
            while await caller.reader.read(4096):
                pass

    async def test_a_caller_that_has_all_events_may_resume_to_nothing(self):
        for model in self.models:
            model.unframed = UnframedEnd(is_whole=True)
        response = await self.call("/draft/x", last_event_id="6")
        self.assertEqual((response.status, response.body), (200, b""))
        self.assertTrue(response.is_complete)

    async def test_an_empty_stream_that_ends_with_its_connection_is_none(self):
        for model in self.models:
            model.unframed = UnframedEnd()
            model.truncate_after_events = 0
        response = await self.call("/chat/x")
        self.assertEqual(response.status, 502)


class BrokenOffBodiesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.targets = [FakeTarget(f"p{i}", "plain") for i in range(2)]
        self.fleet = EdgeFleet(*self.targets)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)

    def set_ends(self, first, second=None):
        for target, end in zip(self.targets, (first, second), strict=True):
            target.unframed = end

    async def call_until_first(self, path):
        for number in range(8):
            response = await self.fleet.call(path, request_id=f"r{number}")
            if f"r{number}" in self.targets[0].executed:
                return response
        raise AssertionError("the first target got no request")

    async def test_a_lookup_of_a_target_that_ended_is_repeated(self):
        self.set_ends(UnframedEnd(crashes=True))
        response = await self.call_until_first("/read/x")
        self.assertEqual(response.status, 200)
        self.assertRegex(response.body, rb"^p1:r\d$")

    async def test_a_booking_of_a_target_that_ended_is_unknown(self):
        self.set_ends(UnframedEnd(crashes=True))
        response = await self.call_until_first("/book/x")
        self.assertEqual(response.status, 502)
        self.assertIn(b"unknown", response.body)
        self.assertEqual(sum(len(x.executed) for x in self.targets), 1)

    async def test_a_repeated_body_without_length_is_told_from_its_copy(self):
        end = UnframedEnd(is_whole=True, repeats=True)
        self.set_ends(end)
        response = await self.call_until_first("/read/x")
        self.assertRegex(response.body, rb"^p1:r\d$")
        self.set_ends(end, end)
        response = await self.fleet.call("/book/x")
        self.assertEqual(response.status, 502)

    async def test_a_copy_that_is_cut_in_its_head_does_not_end_a_body(self):
        self.set_ends(UnframedEnd(is_whole=True, repeated_bytes=40))
        response = await self.call_until_first("/read/x")
        self.assertRegex(response.body, rb"^p1:r\d$")

    async def test_an_endless_body_is_not_joined_with_another_answer(self):
        # It is sent for longer than a target may be silent, so that the other
        # one would be asked if that was still possible.
        self.targets[0].mode = t.ENDLESS_BODY
        response = await self.call_until_first("/read/x")
        self.assertEqual(response.status, 200)
        self.assertFalse(response.is_complete)

    async def test_a_large_failure_is_passed_on_whole(self):
        for target in self.targets:
            target.mode, target.large_status = t.LARGE_BODY, 500
        response = await self.fleet.call("/book/x")
        self.assertEqual(response.status, 500)
        self.assertTrue(response.is_complete)
        self.assertEqual(len(response.body), t.LARGE_BYTES)

    async def test_a_large_body_that_broke_off_is_not_joined_with_another(
        self,
    ):
        self.targets[0].mode = t.LARGE_BROKEN
        self.targets[1].mode = t.LARGE_BODY
        response = await self.call_until_first("/read/x")
        self.assertFalse(response.is_complete)
        self.assertLessEqual(len(response.body), t.LARGE_BYTES)

    async def test_a_body_without_length_gets_none_from_the_router(self):
        for is_whole in (True, False):
            with self.subTest(is_whole=is_whole):
                end = UnframedEnd(is_whole=is_whole)
                self.set_ends(end, end)
                response = await self.fleet.call("/read/x")
                self.assertEqual(response.status, 200)
                self.assertFalse(response.is_framed)
                self.assertEqual(len(response.body), 5 if is_whole else 2)


if __name__ == "__main__":
    unittest.main()
