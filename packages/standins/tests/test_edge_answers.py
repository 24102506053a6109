"""Tests of responses that edge routers relay, also from failing targets."""

import asyncio
import unittest

from chervilwall_standins.users import target as t
from chervilwall_standins.users.fleet import (
    KEY,
    ROUTES,
    TEAM,
    EdgeFleet,
    make_config,
)
from chervilwall_standins.users.target import FakeTarget


class AnswersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.plain = [FakeTarget(f"p{i}", "plain") for i in range(2)]
        self.models = [FakeTarget(f"m{i}", "model", events=6) for i in range(2)]
        self.fleet = EdgeFleet(*self.plain, *self.models)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)

    def set_mode(self, mode, targets=None):
        for target in targets or self.plain + self.models:
            target.mode = mode

    def count_executions(self, request_id):
        """Returns how often any target executed a request."""
        targets = self.plain + self.models
        return sum(target.executed.count(request_id) for target in targets)

    def received_requests(self):
        return [r for x in self.plain + self.models for r in x.received]

    async def test_a_request_arrives_unchanged_and_so_does_its_answer(self):
        response = await self.fleet.call("/read/x?y=%20z", body=b"abc")
        self.assertEqual(response.status, 200)
        self.assertTrue(response.body.endswith(b":r1"))
        self.assertTrue(
            response.headers["Response-Signature"].startswith("sig-")
        )
        (request,) = self.received_requests()
        self.assertEqual(request.line, "POST /read/x?y=%20z HTTP/1.1")
        self.assertEqual(request.body, b"abc")
        self.assertEqual(request.headers["Tenant"], TEAM)
        self.assertNotIn("Authorization", request.headers)
        self.assertLessEqual(int(request.headers["Timeout-Remaining"]), 2000)

    async def test_what_only_the_system_sets_is_not_taken_from_callers(self):
        await self.fleet.call(
            "/read/x", tenant="evil", hold="h", kv_from="x", expect_instance="y"
        )
        (request,) = self.received_requests()
        self.assertEqual(request.headers.get_list("Tenant"), [TEAM])
        self.assertEqual(len(request.headers.get_list("Expect-Instance")), 1)
        for name in ("Hold", "Kv-From"):
            self.assertNotIn(name, request.headers)

    async def test_keys_and_routes_decide(self):
        unknown_key = await self.fleet.call(
            "/read/x", authorization="Token nobody"
        )
        self.assertEqual(unknown_key.status, 401)
        no_key = await self.fleet.call("/read/x", authorization="")
        self.assertEqual(no_key.status, 401)
        anonymous = await self.fleet.call("/open/x", authorization="")
        self.assertEqual(anonymous.status, 200)
        no_route = await self.fleet.call("/nowhere/x")
        self.assertEqual(no_route.status, 404)
        self.assertNotIn(
            KEY, str([r.headers for r in self.received_requests()])
        )

    async def test_a_disclaimed_request_goes_to_another_target(self):
        self.set_mode(t.OVERLOADED, self.plain[:1])
        for number in range(6):
            response = await self.fleet.call("/book/x", request_id=f"b{number}")
            self.assertEqual(response.status, 200)
            self.assertEqual(self.count_executions(f"b{number}"), 1)

    async def test_a_request_that_no_target_ran_is_refused_as_not_run(self):
        self.set_mode(t.OVERLOADED)
        response = await self.fleet.call("/book/x")
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers["Retry-After"]), 0)
        self.assertEqual(self.count_executions("r1"), 0)

    async def test_a_booking_runs_once_and_its_loss_is_not_called_unrun(self):
        for mode in (t.RESET, t.TRUNCATED, t.UNSIGNED, t.ERROR):
            with self.subTest(mode=mode):
                self.set_mode(mode)
                request_id = f"b-{mode}"
                response = await self.fleet.call(
                    "/book/x", request_id=request_id
                )
                self.assertIn(response.status, (500, 502))
                self.assertEqual(self.count_executions(request_id), 1)

    async def test_a_failure_is_passed_on_if_its_retry_gets_no_answer(self):
        faults = {
            "/read/x": (t.RESET, t.TRUNCATED, t.UNSIGNED, t.OVERLOADED),
            "/draft/x": (t.RESET, t.OVERLOADED),
        }
        self.set_mode(t.ERROR, [self.plain[0], self.models[0]])
        for path, modes in faults.items():
            for mode in modes:
                with self.subTest(path=path, mode=mode):
                    self.set_mode(mode, [self.plain[1], self.models[1]])
                    response = await self.fleet.call(path, token_usage="100,30")
                    self.assertEqual(response.status, 500)
                    self.assertIn("Response-Signature", response.headers)

    async def test_a_failure_is_passed_on_if_no_other_target_is_left(self):
        await self.fleet.remove_target(self.plain[1])
        await self.fleet.remove_target(self.models[1])
        self.set_mode(t.ERROR, [self.plain[0], self.models[0]])
        for path in ("/read/x", "/draft/x"):
            response = await self.fleet.call(path, token_usage="100,30")
            self.assertEqual(response.status, 500)
            self.assertIn("Response-Signature", response.headers)

    async def test_bookings_of_callers_that_left_are_not_sent(self):
        await self.fleet.remove_target(self.plain[1])
        target = self.plain[0]
        target.slots, target.response_delay_s = 1, 0.4
        await self.fleet.store.put("servers", target.id, target.spec())
        # They wait for the end of those before them.
        callers = [await self.fleet.connect() for _ in range(40)]
        for number, caller in enumerate(callers):
            await caller.send("/book/x", request_id=f"b{number}")
        await self.fleet.wait_until(lambda: target.executed)
        waiting = self.fleet.routers[0].dispatcher.waiting_count
        await self.fleet.wait_until(lambda: waiting() > 5)
        for caller in callers:
            caller.close()
        await asyncio.sleep(0.1)
        self.assertEqual(waiting(), 0)
        sent = len(target.executed)
        await asyncio.sleep(2 * target.response_delay_s)
        self.assertEqual(len(target.executed), sent)
        self.assertEqual(target.cancelled, [])

    async def test_an_unsigned_429_promises_nothing(self):
        self.set_mode(t.UNSIGNED_BUSY)
        response = await self.fleet.call("/book/x")
        self.assertEqual(response.status, 502)
        self.assertEqual(self.count_executions("r1"), 1)

    async def test_a_404_of_a_server_that_is_no_target_is_not_passed_on(self):
        self.set_mode(t.FOREIGN)
        for path in ("/book/x", "/read/x"):
            response = await self.fleet.call(path)
            self.assertEqual(response.status, 502)

    async def test_a_read_is_repeated_once_elsewhere(self):
        for mode in (t.RESET, t.TRUNCATED, t.UNSIGNED, t.ERROR, t.FOREIGN):
            with self.subTest(mode=mode):
                self.set_mode(t.NORMAL)
                self.set_mode(mode, self.plain[:1])
                for number in range(4):
                    request_id = f"{mode}{number}"
                    response = await self.fleet.call(
                        "/read/x", request_id=request_id
                    )
                    self.assertEqual(response.status, 200)
                    self.assertLessEqual(self.count_executions(request_id), 2)

    async def test_an_answer_without_length_is_whole_when_it_ends_cleanly(self):
        self.set_mode(t.CLOSE_DELIMITED)
        response = await self.fleet.call("/book/x")
        self.assertEqual((response.status, response.is_complete), (200, True))
        self.assertTrue(response.body.endswith(b":r1"))

    async def test_answers_of_other_requests_are_not_passed_on(self):
        for mode in (t.EXTRA_RESPONSE, t.STALE_RESPONSE):
            self.set_mode(mode)
            for number in range(5):
                request_id = f"{mode}{number}"
                response = await self.fleet.call(
                    "/book/x", request_id=request_id
                )
                self.assertTrue(
                    response.body.endswith(b":" + request_id.encode())
                )

    async def test_connections_to_targets_are_kept(self):
        for number in range(10):
            await self.fleet.call("/read/x", request_id=f"r{number}")
        self.assertLessEqual(sum(x.connections for x in self.plain), 2)

    async def test_a_connection_that_the_target_closed_is_not_used(self):
        self.set_mode(t.CLOSE_AFTER_RESPONSE)
        for number in range(6):
            response = await self.fleet.call("/book/x", request_id=f"b{number}")
            self.assertEqual(response.status, 200)
            await asyncio.sleep(0.01)

    async def test_another_target_at_the_address_does_not_run_it(self):
        first = self.plain[0]
        first.id = "another"
        for number in range(4):
            response = await self.fleet.call("/book/x", request_id=f"b{number}")
            self.assertEqual(response.status, 200)
        self.assertEqual(first.executed, [])

    async def test_an_engine_refused_connection_costs_the_caller_nothing(self):
        self.plain[0].crash()
        for number in range(6):
            response = await self.fleet.call("/book/x", request_id=f"b{number}")
            self.assertEqual(response.status, 200)

    async def test_no_answer_by_the_time_limit_is_told_as_unknown(self):
        self.set_mode(t.HANG)
        started = asyncio.get_running_loop().time()
        response = await self.fleet.call("/book/x", timeout_remaining="300")
        elapsed_s = asyncio.get_running_loop().time() - started
        self.assertEqual(response.status, 504)
        self.assertLess(elapsed_s, 0.8)

    async def test_a_split_sends_only_where_it_may(self):
        route = ROUTES[0] | {
            "backend": "",
            "traffic_split": [
                {"backend": "plain", "weight": 50},
                {"backend": "nothing", "weight": 50},
            ],
        }
        await self.fleet.store.put("config", "main", make_config(2, [route]))
        router = self.fleet.routers[0]
        await self.fleet.wait_until(lambda: router.config.version == 2)
        responses = [
            await self.fleet.call("/read/x", request_id=f"r{n}")
            for n in range(30)
        ]
        self.assertEqual({a.status for a in responses}, {200, 503})


class StreamsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.models = [FakeTarget(f"m{i}", "model", events=6) for i in range(2)]
        self.fleet = EdgeFleet(*self.models)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)

    async def call_stream(self, path, **options):
        return await self.fleet.call(
            path, token_usage="100,30", prompt_prefix="aa:50,bb:50", **options
        )

    def event_ids(self, response):
        """Returns the ids of the events in the body of a response."""
        lines = response.body.split(b"\n")
        return [int(x[4:]) for x in lines if x.startswith(b"id: ")]

    async def test_events_arrive_in_order_and_the_end_is_told(self):
        response = await self.call_stream("/chat/x")
        self.assertEqual(self.event_ids(response), [1, 2, 3, 4, 5, 6])
        self.assertTrue(response.is_complete)

    async def test_events_are_passed_on_as_they_arrive(self):
        for model in self.models:
            model.event_interval_s = 0.15
        caller = await self.fleet.connect()
        await caller.send("/chat/x", token_usage="100,30")
        started = asyncio.get_running_loop().time()
        await caller.reader.readuntil(b"data: 1")
        elapsed_s = asyncio.get_running_loop().time() - started
        self.assertLess(elapsed_s, 0.12)
        caller.close()

    async def test_a_torn_stream_never_looks_whole(self):
        for model in self.models:
            model.mode = t.TRUNCATED
        response = await self.call_stream("/chat/x")
        self.assertFalse(response.is_complete)
        self.assertEqual(self.event_ids(response), [1, 2])
        self.assertNotIn(b"dat\n", response.body)

    async def test_a_resumable_stream_goes_on_at_another_target(self):
        self.models[0].mode = t.TRUNCATED
        self.models[1].mode = t.TRUNCATED
        self.models[1].truncate_after_events = 99
        for number in range(3):
            response = await self.call_stream(
                "/draft/x", request_id=f"d{number}"
            )
            self.assertEqual(self.event_ids(response), [1, 2, 3, 4, 5, 6])
            self.assertTrue(response.is_complete)
            signatures = response.headers.get_list("Response-Signature")
            self.assertEqual(len(signatures), 1)

    async def test_a_caller_that_resumes_gets_only_the_rest(self):
        response = await self.call_stream("/draft/x", last_event_id="4")
        self.assertEqual(self.event_ids(response), [5, 6])

    async def test_a_stream_that_must_not_run_twice_runs_once(self):
        for model in self.models:
            model.mode = t.RESET
        response = await self.call_stream("/chat/x")
        self.assertEqual(response.status, 502)
        self.assertEqual(sum(len(m.executed) for m in self.models), 1)

    async def test_a_caller_that_leaves_stops_its_stream(self):
        for model in self.models:
            model.events, model.event_interval_s = 500, 0.05
        caller = await self.fleet.connect()
        await caller.send("/chat/x", token_usage="100,30")
        await caller.reader.readuntil(b"data: 1")
        caller.close()
        await self.fleet.wait_until(
            lambda: any(m.cancelled for m in self.models), timeout_s=0.5
        )

    async def test_a_caller_that_leaves_before_the_first_event_counts_too(self):
        for model in self.models:
            model.mode = t.HANG
        caller = await self.fleet.connect()
        await caller.send("/chat/x", token_usage="100,30")
        await self.fleet.wait_until(
            lambda: any(m.executed for m in self.models)
        )
        caller.close()
        await self.fleet.wait_until(
            lambda: any(m.cancelled for m in self.models), timeout_s=0.5
        )
        in_flight = self.fleet.routers[0].running_requests
        self.assertEqual(in_flight.loads(), ())


class ReplacedTargetsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_refusal_does_not_claim_that_replaced_targets_are_full(
        self,
    ):
        targets = [FakeTarget(f"p{i}", "plain") for i in range(4)]
        fleet = await EdgeFleet(*targets).__aenter__()
        self.addAsyncCleanup(fleet.__aexit__)
        for target in targets:
            target.id = f"successor of {target.id}"
        response = await fleet.call("/book/x")
        self.assertEqual(response.status, 503)
        self.assertIn(b"turned the request away", response.body)
