"""Tests of the statistics by route."""

import unittest

from chervilwall.http_messages import InboundRequest
from chervilwall.prefix import PromptPart
from chervilwall.route_statistics import RouteStatistics, SizeClasses
from chervilwall.routing import Route, RouteKind, WeightedService

ROUTE = Route(
    "r", "h", "/", RouteKind.STREAMING, 15.0, 0.3, 0,
    (WeightedService("s", 1.0),), 1,
)  # fmt: skip


def make_request(remaining_s, output_tokens=1000):
    return InboundRequest(
        "id", "POST", "h", "/", (), b"", 0.0,
        remaining_s=remaining_s, output_tokens=output_tokens,
    )  # fmt: skip


class RouteMemoryTest(unittest.TestCase):
    def test_callers_with_differing_time_limits_are_all_new(self):
        statistics = RouteStatistics()
        for number in range(200):
            # Time limits differ by up to 15 % between the callers of a route,
            # so a shorter one does not identify a retry.
            req = make_request(15.0 - 2.25 * (number % 10) / 10)._replace(
                prompt_parts=(
                    PromptPart("top", 9),
                    PromptPart(str(number), number),
                ),
                prompt_tokens=number,
            )
            statistics.record_arrival(req, ROUTE, "team")
        classes = [
            statistics.size_class(req._replace(prompt_tokens=size), ROUTE)
            for size in (100, 150, 190)
        ]
        self.assertEqual(classes, [0, 1, 2])

    def test_lengths_of_answers_are_learned(self):
        statistics = RouteStatistics()
        req = make_request(15.0)
        self.assertEqual(statistics.output_tokens(req, ROUTE, 5), 1000)
        for _ in range(10):
            statistics.record_stream(ROUTE, 40, 2.0)
        self.assertEqual(statistics.output_tokens(req, ROUTE, 5), 200)
        self.assertAlmostEqual(statistics.duration_s(ROUTE), 2.0)

    def test_retries_do_not_make_an_own_part_look_shared(self):
        statistics = RouteStatistics()
        for number in range(100):
            part = PromptPart(str(number), 1)
            for remaining_s in (15.0, 12.0, 10.0):
                req = make_request(remaining_s)._replace(
                    prompt_parts=(PromptPart("top", 9), part)
                )
                statistics.record_arrival(req, ROUTE, "team")
                statistics.record_unserved(req, "team")
        self.assertEqual(statistics.session(req, ROUTE), "top")

    def test_a_shared_last_part_is_seen_though_many_are_refused(self):
        statistics = RouteStatistics()
        for number in range(200):
            part = PromptPart(str(number % 5), 1)
            req = make_request(15.0)._replace(
                prompt_parts=(PromptPart("top", 9), part)
            )
            statistics.record_arrival(req, ROUTE, "team")
            if number % 2:
                statistics.record_unserved(req, "team")
        self.assertEqual(
            statistics.session(req, ROUTE), req.prompt_parts[-1].id
        )

    def test_a_callers_own_guess_goes_before_the_mean(self):
        statistics = RouteStatistics()
        for _ in range(10):
            statistics.record_stream(ROUTE, 40, 2.0)
        req = make_request(15.0)._replace(length_hint=700)
        self.assertEqual(statistics.output_tokens(req, ROUTE, 5), 700)


class SizeClassesTest(unittest.TestCase):
    def test_the_largest_tenth_and_the_fifth_below_it_are_told_apart(self):
        sizes = SizeClasses()
        for size in range(1000):
            sizes.observe(size)
        classes = [sizes.classify(size) for size in (810, 930, 960, 985)]
        self.assertEqual(classes, [0, 0, 1, 2])
        self.assertEqual(SizeClasses().classify(5), 2)
