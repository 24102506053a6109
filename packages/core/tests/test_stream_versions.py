"""Tests of the choice of software versions for resumable streams."""

import unittest

from chervilwall.errors import RequestRefusedError
from chervilwall.registry import RegisteredTarget
from chervilwall.service_versions import (
    AGREE_TIMEOUT_S,
    AgreedVersions,
    Predecessor,
)
from chervilwall.store_era import StoreRevision
from chervilwall.stream_origins import (
    COMPLETED_TTL_S,
    StreamDemand,
    join_ids,
    split_ids,
    stream_id,
)
from chervilwall.stream_versions import REPORTS_PER_STREAM, StreamVersions

RETENTION_S = 30.0
OLD, NEW = "v1", "v1.1"
STREAM = StreamDemand(stream_id("a1"))
TAKEN_UP = StreamDemand(stream_id("a2"), stream_id("a1"))


def make_target(number, version, service="svc"):
    return RegisteredTarget(
        f"i-{number}", service, f"a:{number}", "z", 8, version=version
    )


class StreamVersionsTest(unittest.TestCase):
    def setUp(self):
        self.now = 1000.0
        self.retention_s = RETENTION_S
        self.streams = StreamVersions(lambda service: self.retention_s)
        self.services = self.streams.services

    def register(self, *versions):
        targets = [make_target(n, v) for n, v in enumerate(versions)]
        self.services.observe(targets, self.now)
        return targets

    def agree(self, *versions, revision=1, is_outdated=False):
        self.services.learn(
            "svc",
            AgreedVersions(frozenset(versions), StoreRevision(0, revision)),
            self.now,
            is_outdated=is_outdated,
        )

    def bind(self, stream=TAKEN_UP):
        return self.streams.bind("svc", stream, self.now).version

    def assert_not_known(self, stream=TAKEN_UP):
        with self.assertRaises(RequestRefusedError) as caught:
            self.bind(stream)
        self.assertEqual(caught.exception.retry_after_s, 0.0)

    def excluded(self, targets, stream=STREAM):
        return self.streams.excluded("svc", stream, targets, self.now)


class OriginTest(StreamVersionsTest):
    def test_a_stream_goes_on_at_the_version_that_began_it(self):
        targets = self.register(OLD, NEW)
        self.agree(OLD, NEW)
        self.streams.record_granted(STREAM, targets[0], self.now)
        bound = self.streams.bind("svc", TAKEN_UP, self.now)
        self.assertEqual(bound.version, OLD)
        self.assertEqual(self.excluded(targets, bound), {"i-1"})

    def test_a_stream_that_was_resumed_may_be_resumed_again(self):
        targets = self.register(OLD, NEW)
        self.agree(OLD, NEW)
        self.streams.record_granted(TAKEN_UP, targets[0], self.now)
        third = StreamDemand(stream_id("a3"), stream_id("a1"))
        self.assertEqual(self.bind(third), OLD)

    def test_an_unknown_stream_of_mixed_versions_is_refused(self):
        self.register(OLD, NEW)
        self.agree(OLD, NEW)
        self.assert_not_known()

    def test_a_stream_of_another_service_is_not_known(self):
        target = make_target(7, OLD, service="other")
        self.register(OLD, NEW)
        self.agree(OLD, NEW)
        self.streams.record_granted(STREAM, target, self.now)
        self.assert_not_known()

    def test_a_complete_stream_is_remembered_for_its_last_bytes(self):
        targets = self.register(OLD, NEW)
        self.agree(OLD, NEW)
        self.streams.record_granted(STREAM, targets[0], self.now)
        self.streams.record_completed(STREAM, self.now)
        self.streams.expire(self.now + 0.9 * COMPLETED_TTL_S)
        self.assertEqual(self.bind(), OLD)
        self.streams.expire(self.now + 1.1 * COMPLETED_TTL_S)
        self.assert_not_known()


class ExemptionTest(StreamVersionsTest):
    def test_a_known_stream_is_exempt_from_its_teams_share_once(self):
        targets = self.register(OLD, NEW)
        self.agree(OLD, NEW)
        self.assertFalse(self.streams.is_exempt("svc", TAKEN_UP))
        self.streams.record_granted(STREAM, targets[0], self.now)
        self.assertFalse(self.streams.is_exempt("svc", STREAM))
        bound = self.streams.bind("svc", TAKEN_UP, self.now)
        self.assertTrue(self.streams.is_exempt("svc", bound))
        self.streams.record_resumed(bound)
        again = StreamDemand(stream_id("a3"), stream_id("a1"))
        self.assertFalse(self.streams.is_exempt("svc", again))

    def test_a_stream_within_its_answer_is_exempt_as_well(self):
        targets = self.register(OLD, NEW)
        self.streams.record_granted(STREAM, targets[0], self.now)
        broken_off = STREAM._replace(version=OLD)
        self.assertTrue(self.streams.is_exempt("svc", broken_off))


class SoleVersionTest(StreamVersionsTest):
    def test_the_only_agreed_version_began_every_stream(self):
        self.register(OLD, OLD)
        self.agree(OLD)
        self.assertEqual(self.bind(), OLD)

    def test_a_new_router_knows_nothing_before_it_has_read_the_versions(self):
        self.register(OLD)
        self.assert_not_known()
        self.now += 1.1 * RETENTION_S
        self.assertEqual(self.bind(), OLD)

    def test_a_version_that_left_while_no_router_ran_still_counts(self):
        self.register(NEW)
        self.agree(OLD)
        self.assert_not_known()

    def test_a_version_that_left_counts_until_its_streams_have_ended(self):
        self.register(OLD, NEW)
        self.agree(OLD, NEW)
        self.register(NEW)
        self.now += 0.9 * RETENTION_S
        self.streams.expire(self.now)
        self.assert_not_known()
        self.now += 0.2 * RETENTION_S
        self.streams.expire(self.now)
        self.assertEqual(self.bind(), NEW)
        self.assertEqual(self.services.proposal("svc", self.now), {NEW})

    def test_a_version_counts_no_shorter_if_timeouts_shrink_after_it_left(self):
        self.register(OLD, NEW)
        self.agree(OLD, NEW)
        self.register(NEW)
        self.retention_s = 0.2 * RETENTION_S
        self.now += 0.9 * RETENTION_S
        self.streams.expire(self.now)
        self.assert_not_known()

    def test_a_version_that_comes_back_counts_again(self):
        self.register(OLD, NEW)
        self.agree(OLD, NEW)
        self.register(NEW)
        self.now += 20.0
        self.register(OLD, NEW)
        self.now += 1.1 * RETENTION_S
        self.streams.expire(self.now)
        self.assert_not_known()

    def test_two_changes_within_a_lifetime_leave_three_versions(self):
        self.register(OLD)
        self.agree(OLD)
        self.register(OLD, NEW)
        self.register("v1.2")
        proposal = self.services.proposal("svc", self.now)
        self.assertEqual(proposal, {OLD, NEW, "v1.2"})

    def test_versions_of_an_older_copy_of_the_store_prove_nothing(self):
        self.register(OLD)
        self.agree(OLD, is_outdated=True)
        self.assert_not_known()
        self.now += 1.1 * RETENTION_S
        self.assertEqual(self.bind(), OLD)


class PredecessorTest(StreamVersionsTest):
    """Tests of what a router knows that starts after the loss of all."""

    def start(self, *agreed, registered=(OLD, NEW), is_outdated=False):
        self.register(*registered)
        self.agree(*agreed, is_outdated=is_outdated)
        self.services.inherit("svc", self.now)

    def test_streams_from_before_began_at_the_one_agreed_version(self):
        self.start(OLD)
        self.assertEqual(self.bind(), OLD)
        self.agree(OLD, NEW)
        self.assertEqual(self.bind(), OLD)

    def test_it_makes_no_difference_when_the_next_version_registers(self):
        self.start(OLD, registered=(OLD,))
        self.now += 0.5 * RETENTION_S
        self.register(OLD, NEW)
        self.agree(OLD, NEW)
        self.assertEqual(self.bind(), OLD)

    def test_nothing_is_concluded_after_the_loss_of_another_router(self):
        self.start(OLD)
        self.agree(OLD, NEW)
        self.services.record_router_lost()
        self.assert_not_known()

    def test_nothing_is_concluded_once_two_versions_were_agreed(self):
        self.start(OLD, NEW)
        self.assert_not_known()

    def test_nothing_is_concluded_after_the_lifetime_of_streams(self):
        self.start(OLD)
        self.agree(OLD, NEW)
        self.now += 1.1 * RETENTION_S
        self.assert_not_known()

    def test_nothing_is_concluded_from_an_older_copy_of_the_store(self):
        self.start(OLD, is_outdated=True)
        self.agree(OLD, NEW)
        self.assert_not_known()

    def test_a_version_without_targets_may_have_been_followed_unagreed(self):
        self.start(OLD, registered=(NEW,))
        self.assert_not_known()

    def test_a_peer_that_starts_later_learns_it(self):
        self.register(OLD, NEW)
        self.agree(OLD, NEW)
        known = Predecessor(OLD, self.now + 5.0)
        self.services.learn_predecessor("svc", known)
        self.assertEqual(self.bind(), OLD)
        self.now += 6.0
        self.assert_not_known()


class NewVersionTest(StreamVersionsTest):
    def test_no_stream_begins_at_a_version_before_it_is_agreed(self):
        targets = self.register(OLD, NEW)
        self.agree(OLD)
        self.assertEqual(self.excluded(targets), {"i-1"})
        self.assertEqual(self.services.proposal("svc", self.now), {OLD, NEW})
        self.agree(OLD, NEW)
        self.assertEqual(self.excluded(targets), frozenset())

    def test_a_store_that_does_not_answer_idles_no_service_for_long(self):
        targets = self.register(NEW)
        self.agree(OLD)
        self.assertEqual(self.excluded(targets), {"i-0"})
        self.now += 1.1 * AGREE_TIMEOUT_S
        self.assertEqual(self.excluded(targets), frozenset())
        # Nor if those of the agreed version are about to leave.
        drained = make_target(1, OLD)._replace(draining=True)
        self.services.observe([*targets, drained], self.now)
        self.assertEqual(self.excluded(targets), frozenset())

    def test_no_stream_begins_unagreed_while_an_agreed_version_serves(self):
        # It could not be told from one that began before a loss of all routers.
        targets = self.register(OLD, NEW)
        self.agree(OLD)
        self.now += 1.1 * AGREE_TIMEOUT_S
        self.assertEqual(self.excluded(targets), {"i-1"})

    def test_after_an_older_copy_all_versions_are_agreed_again(self):
        self.register(OLD, NEW)
        self.agree(OLD, NEW)
        self.services.agree_again(self.now)
        self.assertEqual(self.services.proposal("svc", self.now), {OLD, NEW})
        self.agree(OLD, revision=7)
        self.assertEqual(self.services.proposal("svc", self.now), {OLD, NEW})

    def test_a_peer_does_not_replace_what_was_read_here(self):
        self.register(OLD, NEW)
        self.agree(OLD, NEW)
        self.services.learn_from_peer("svc", [OLD], self.now)
        versions = self.services.agreed("svc").versions
        self.assertEqual(versions, {OLD, NEW})

    def test_streams_begin_at_versions_that_a_peer_has_agreed_since(self):
        targets = self.register(OLD, NEW)
        self.agree(OLD)
        self.now += 1.1 * AGREE_TIMEOUT_S
        self.services.learn_from_peer("svc", [OLD, NEW], self.now)
        self.assertEqual(self.excluded(targets), frozenset())

    def test_a_peer_states_the_versions_while_the_store_is_away(self):
        targets = self.register(OLD, NEW)
        self.services.learn_from_peer("svc", [OLD, NEW], self.now)
        self.assertEqual(self.excluded(targets), frozenset())


class ReportTest(StreamVersionsTest):
    def test_each_stream_is_reported_more_than_once(self):
        targets = self.register(OLD, NEW)
        self.streams.record_relayed(STREAM, targets[1], self.now)
        for _ in range(REPORTS_PER_STREAM):
            unreported = self.streams.take_unreported("svc")
            self.assertEqual(unreported, {NEW: [STREAM.id]})
        self.assertEqual(self.streams.take_unreported("svc"), {})

    def test_streams_that_a_peer_relays_are_written_once(self):
        targets = self.register(OLD, NEW)
        self.streams.record_granted(STREAM, targets[1], self.now)
        other = stream_id("a7")
        for _ in range(2):
            self.learn(STREAM.id, other)
        unwritten = self.streams.take_unwritten()
        self.assertEqual(unwritten.keys(), {STREAM.id, other})
        self.learn(other)
        self.learn(stream_id("a8"), is_written=True)
        self.assertEqual(self.streams.take_unwritten(), {})

    def learn(self, *ids, is_written=False):
        self.streams.record_known(
            "svc", NEW, ids, self.now, is_written=is_written
        )

    def test_ids_are_joined_and_split(self):
        ids = [stream_id("a"), stream_id("b")]
        self.assertEqual(split_ids(join_ids(ids)), ids)
        self.assertEqual(split_ids(join_ids(ids)[:-1]), ids[:1])
