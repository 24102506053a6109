"""Tests of the explanation of where a request would go now."""

import asyncio
import contextlib
import io
import json
import threading
import unittest
from urllib.parse import urlencode

from chervilwall_ctl import commands
from chervilwall_ctl.main import main
from chervilwall_router.edge.clock import elapsed_s
from chervilwall_router.edge.explanation import Explainer, Question
from chervilwall_standins.users.evacuation_case import (
    EvacuationCase,
    make_targets,
)
from chervilwall_standins.users.fleet import HOST, TEAM
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

MODEL_QUERY = {
    "path": "/chat/x",
    "team": TEAM,
    "prompt_tokens": 1000,
    "output_tokens": 100,
    "parts": "shared:800,own:200",
    "session": "shared",
}


class _ColdFacts:
    def describe(self, target, now):
        del now
        return {"cold_s": 3.5 if target.zone == "east" else 0.0}


class ExplanationTest(EvacuationCase):
    async def ask(self, *, router=0, **query):
        address = self.fleet.routers[router].settings.listen.metrics
        query = urlencode({"host": HOST, "path": "/read/x"} | query)
        client = AsyncHTTPClient()
        answer = await client.fetch(f"http://{address}/explain?{query}")
        return json.loads(answer.body)

    async def ask_service(self, **query):
        (service,) = (await self.ask(**query))["services"]
        return service

    async def test_it_names_route_team_target_and_why_others_are_not_used(self):
        targets = make_targets("east", "west", "west")
        await self.start(*targets)
        router = self.fleet.routers[0]
        router._state.pauses.record(targets[1].id, 5.0, elapsed_s())
        await self.evacuate("east")
        answer = await self.ask(team=TEAM)
        self.assertEqual(answer["route"]["name"], "read")
        self.assertEqual(answer["team"]["name"], TEAM)
        (service,) = answer["services"]
        self.assertTrue(service["decides_here"])
        self.assertEqual(service["outcome"], "sent")
        self.assertEqual(service["target"], targets[2].id)
        reasons = [x["unusable"] for x in service["candidates"]]
        self.assertEqual(reasons, ["evacuated", "paused", ""])
        await self.evacuate("west")
        service = await self.ask_service(team=TEAM)
        self.assertEqual(service["outcome"], "rejected")
        self.assertEqual(service["reason"], "no target takes requests")
        self.assertGreater(service["retry_after_s"], 0.0)

    async def test_load_and_cached_parts_are_those_of_the_placement(self):
        targets = make_targets(
            "z1", "z1", service="model", events=10, event_interval_s=0.1
        )
        await self.start(*targets, routers=2)
        caller = await self.fleet.connect()
        await caller.send(
            "/chat/x",
            token_usage="1000,100",
            prompt_prefix="shared:800,own:200",
        )
        await self.fleet.wait_until(lambda: any(t.received for t in targets))
        await asyncio.sleep(0.4)
        (busy,) = (t for t in targets if t.received)
        names = [
            (await self.ask_service(router=n, **MODEL_QUERY)) for n in (0, 1)
        ]
        for service in names:
            by_id = {x["target"]: x for x in service["candidates"]}
            self.assertEqual(by_id[busy.id]["running"], 1)
        self.assertEqual(names[0]["scheduler"], names[1]["scheduler"])
        (decider,) = (x for x in names if x["decides_here"])
        by_id = {x["target"]: x for x in decider["candidates"]}
        self.assertEqual(by_id[busy.id]["cached_tokens"], 1000)
        (other,) = (x for x in by_id.values() if x["target"] != busy.id)
        self.assertGreater(other["prefill_ms"], by_id[busy.id]["prefill_ms"])
        self.assertEqual(decider["target"], busy.id)
        caller.close()

    async def test_what_is_refused_before_placement_is_told(self):
        await self.start(*make_targets("east"))
        for query, reason in (
            ({"path": "/nowhere"}, "no route has this path"),
            ({"team": "nobody"}, "the team is not known"),
        ):
            answer = await self.ask(**query)
            self.assertEqual(answer["refusal"], reason)
            self.assertEqual(answer["services"], [])
        service = await self.ask_service(path="/open/x", team="")
        self.assertEqual(service["outcome"], "sent")

    async def test_invalid_queries_are_refused(self):
        await self.start(*make_targets("east"))
        for query in (
            {"path": ""},
            {"prompt_tokens": "-1"},
            {"prompt_tokens": "9" * 10},
            {"prompt_tokens": "9" * 5000},
            {"parts": "x"},
            {"parts": ",".join(["a:1"] * 1025)},
        ):
            with (
                self.subTest(query=str(query)[:40]),
                self.assertRaises(HTTPClientError) as caught,
            ):
                await self.ask(**query)
            self.assertEqual(caught.exception.code, 400)

    async def test_asking_sends_and_records_nothing(self):
        # A limit that was asked for grants a burst to a router that begins to
        # place requests.
        targets = make_targets("east", service="model", events=2)
        targets[0].limit = "3"
        await self.start(*targets)
        response = await self.call("/chat/x", token_usage="10,10")
        self.assertEqual(response.status, 200)
        router = self.fleet.routers[0]
        pacer, shares = router._pacer, router._state.shares
        self.assertFalse(pacer.is_idle)

        def state():
            return (
                [dict(s._taken_at) for s in pacer._spacings],
                [dict(s._asked_at) for s in pacer._spacings],
                [dict(s.sent) for s in pacer._spacings],
                dict(pacer.held_back),
                [dict(x) for x in shares.local_sums(elapsed_s())],
                {n: c for n, c in router.metrics.counters.items() if c},
                router._state.running_requests.loads(),
                router.dispatcher.waiting_count(),
            )

        await asyncio.sleep(1.1)
        before = state()
        for _ in range(5):
            service = await self.ask_service(**MODEL_QUERY)
            self.assertEqual(service["candidates"][0]["limit_per_s"], 3.0)
            self.assertEqual(state(), before)
        self.assertEqual(len(targets[0].received), 1)

    async def test_further_facts_of_targets_follow(self):
        await self.start(*make_targets("east", "west"))
        router = self.fleet.routers[0]
        handler = router._page_servers[router.settings.listen.metrics]
        parts = handler._pages["/explain"].__self__._parts
        explainer = Explainer(parts._replace(facts=(_ColdFacts(),)))
        answer = explainer.explain(Question(HOST, "/read/x", TEAM))
        cold = [x["cold_s"] for x in answer["services"][0]["candidates"]]
        self.assertEqual(cold, [3.5, 0.0])


class CommandTest(EvacuationCase):
    async def ctl(self, *args):
        """Runs `chervilctl` in a thread; returns exit code and stdout."""
        out, codes = io.StringIO(), []

        def run():
            with contextlib.redirect_stdout(out):
                codes.append(main(["explain", *args]))

        thread = threading.Thread(target=run)
        thread.start()
        while thread.is_alive():
            await asyncio.sleep(0.01)
        return codes[0], out.getvalue()

    async def test_text_and_json(self):
        targets = make_targets("east", "west")
        await self.start(*targets)
        await self.evacuate("east")
        address = self.fleet.routers[0].settings.listen.metrics
        args = ["--router", "127.0.0.1:1", "--router", address]
        args += ["--host", HOST, "--path", "/read/x", "--team", TEAM]
        code, out = await self.ctl(*args)
        self.assertEqual(code, commands.EXIT_OK)
        self.assertIn(f"would be sent to {targets[1].id}", out)
        rows = {line.split()[0]: line for line in out.splitlines() if line}
        self.assertIn("evacuated", rows[targets[0].id])
        code, out = await self.ctl(*args, "--json")
        self.assertEqual(json.loads(out)["services"][0]["outcome"], "sent")
        await self.evacuate("west")
        _, out = await self.ctl(*args)
        self.assertIn("would be rejected: no target takes requests", out)


if __name__ == "__main__":
    unittest.main()
