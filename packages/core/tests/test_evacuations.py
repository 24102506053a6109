"""Tests of the evacuated zones, how copies of them merge, and their effect."""

import unittest
from typing import NamedTuple

from chervilwall.evacuations import (
    MAX_ZONES,
    EvacuationChange,
    Evacuations,
)
from chervilwall.registry import RegisteredTarget, TargetRegistry
from chervilwall.store_era import StoreRevision
from chervilwall.untrusted import MAX_NAME_CHARS
from hypothesis import given, settings
from hypothesis import strategies as st

ROUTERS = 3
NOW = 1000.0
MANY = [f"zone-{number:03}" for number in range(MAX_ZONES + 6)]


def at(number, era=1):
    return StoreRevision(era, number)


class EvacuationsTest(unittest.TestCase):
    def setUp(self):
        self.state = Evacuations()

    def test_a_list_tells_what_changed(self):
        change = self.state.replace(at(5), ["b", "a"], NOW)
        self.assertEqual(change, EvacuationChange(("a", "b"), ()))
        change = self.state.replace(at(6), ["b", "c"], NOW)
        self.assertEqual(change, EvacuationChange(("c",), ("a",)))
        self.assertEqual(self.state.names, ("b", "c"))
        self.assertEqual(self.state.revision, at(6))

    def test_an_older_set_never_replaces_a_newer_one(self):
        self.state.replace(at(6), ["a"], NOW)
        self.assertFalse(self.state.replace(at(5), [], NOW))
        self.assertFalse(self.state.update(at(5), {"a": False}, NOW))
        self.assertFalse(self.state.merge(at(5), [], NOW))
        self.assertEqual(self.state.names, ("a",))

    def test_a_peer_that_knows_no_set_changes_nothing(self):
        self.assertFalse(self.state.merge(StoreRevision(), ["a"], NOW))
        self.assertEqual(self.state.names, ())

    def test_a_new_era_replaces_the_set_whatever_its_number(self):
        self.state.replace(at(90), ["a"], NOW)
        self.state.merge(at(3, era=2), ["b"], NOW)
        self.assertEqual(self.state.names, ("b",))
        self.assertFalse(self.state.merge(at(99), ["a"], NOW))

    def test_a_zone_that_stays_keeps_when_and_at_what_it_was_evacuated(self):
        self.state.replace(at(5), ["a"], NOW)
        self.state.update(at(6), {"b": True}, NOW + 1.0)
        self.state.merge(at(7), ["a", "b"], NOW + 2.0)
        self.assertEqual(self.state.zones["a"], (NOW, at(5)))
        self.assertEqual(self.state.zones["b"], (NOW + 1.0, at(6)))

    def test_deleted_and_created_within_one_watch_the_last_state_holds(self):
        self.state.replace(at(5), ["a"], NOW)
        self.state.update(at(8), {"a": True}, NOW)
        self.assertEqual(self.state.names, ("a",))
        self.state.update(at(9), {"a": False}, NOW)
        self.assertEqual(self.state.names, ())

    def test_the_first_names_in_order_hold_beyond_the_limit(self):
        self.state.replace(at(5), reversed(MANY), NOW)
        self.assertEqual(self.state.names, tuple(MANY[:MAX_ZONES]))
        self.assertEqual(self.state.excess, len(MANY) - MAX_ZONES)

    def test_the_place_of_a_removed_name_needs_a_list_once_full(self):
        # The router may have received 64 names from a peer that left out more.
        self.state.merge(at(5), MANY[:MAX_ZONES], NOW)
        self.assertFalse(self.state.can_update([MANY[0]]))
        self.assertTrue(self.state.can_update(["unknown"]))
        self.state.update(at(6), {"a-first": True}, NOW)
        self.assertEqual(self.state.names, ("a-first", *MANY[: MAX_ZONES - 1]))
        self.state.replace(at(7), MANY[:3], NOW)
        self.assertTrue(self.state.can_update([MANY[0]]))

    def test_a_name_that_no_zone_can_have_is_left_out(self):
        # Its length could otherwise make all reports too large for a datagram.
        self.state.replace(at(5), ["x" * (MAX_NAME_CHARS + 1), "a"], NOW)
        self.assertEqual(self.state.names, ("a",))
        self.assertEqual(self.state.excess, 1)


class _Reply(NamedTuple):
    """A list or changes of the store, or a report, that arrives later."""

    kind: str
    router: int
    since: StoreRevision
    revision: StoreRevision
    content: object


class _World:
    """A store, and routers that read it or hear from each other, late."""

    def __init__(self, test):
        self.test = test
        self.era, self.number = 1, 1
        self.names = frozenset()
        # Every state that the store had, by revision.
        self.history = {at(1): self.names}
        self.log = []
        self.copies = [(1, self.names)]
        self.routers = [Evacuations() for _ in range(ROUTERS)]
        self.replies = []

    @property
    def revision(self):
        return at(self.number, self.era)

    def record(self, changes):
        self.number += 1
        self.history[self.revision] = self.names
        self.log.append((self.revision, changes))

    def set_names(self, names, exists):
        names = frozenset(names)
        self.names = self.names | names if exists else self.names - names
        self.record(dict.fromkeys(names, exists))

    def copy(self):
        self.copies.append((self.number, self.names))

    def restore(self, index):
        self.number, self.names = self.copies[index % len(self.copies)]
        self.era += 1
        self.history[self.revision] = self.names
        self.copies = [(self.number, self.names)]

    def read_list(self, router):
        known = self.routers[router].revision
        reply = _Reply("list", router, known, self.revision, self.names)
        self.replies.append(reply)

    def read_changes(self, router):
        since = self.routers[router].revision
        if since.era != self.era:
            self.read_list(router)
            return
        merged = {}
        for revision, changes in self.log:
            if revision.era == self.era and revision > since:
                merged.update(changes)
        reply = _Reply("changes", router, since, self.revision, merged)
        self.replies.append(reply)

    def report(self, sender, receiver):
        state = self.routers[sender]
        since = state.revision
        reply = _Reply("report", receiver, since, since, state.names)
        self.replies.append(reply)

    def deliver(self, index, *, keep):
        if not self.replies:
            return
        index %= len(self.replies)
        reply = self.replies[index] if keep else self.replies.pop(index)
        state = self.routers[reply.router]
        before = (state.revision, set(state.names))
        if reply.kind == "list":
            change = state.replace(reply.revision, reply.content, NOW)
        elif reply.kind == "report":
            change = state.merge(reply.revision, reply.content, NOW)
        else:
            removed = [n for n, exists in reply.content.items() if not exists]
            # A watch drops changes that follow an older set than the known one.
            if state.revision != reply.since:
                return
            if not state.can_update(removed):
                self.read_list(reply.router)
                return
            change = state.update(reply.revision, reply.content, NOW)
        self.check(state, before, change)

    def check(self, state, before, change):
        test, (revision, names) = self.test, before
        test.assertGreaterEqual(state.revision, revision)
        test.assertEqual(set(change.evacuated), set(state.names) - names)
        test.assertEqual(set(change.returned), names - set(state.names))
        if state.revision:
            expected = sorted(self.history[state.revision])[:MAX_ZONES]
            test.assertEqual(list(state.names), expected)

    def settle(self):
        """Delivers all replies, then a fresh list and reports of it."""
        while self.replies:
            self.deliver(0, keep=False)
        self.read_list(0)
        for receiver in range(1, ROUTERS):
            self.deliver(0, keep=False)
            self.report(0, receiver)
        while self.replies:
            self.deliver(0, keep=False)


ROUTER = st.integers(0, ROUTERS - 1)
NAMES = st.one_of(
    st.lists(st.sampled_from(("a", "b", "c")), min_size=1, max_size=2),
    st.lists(st.sampled_from(MANY), min_size=1, max_size=len(MANY)),
    st.just(MANY),
)
STEP = st.one_of(
    st.tuples(st.just("set_names"), NAMES, st.booleans()),
    st.tuples(st.just("record"), st.just({})),
    st.tuples(st.just("copy")),
    st.tuples(st.just("restore"), st.integers(0, 5)),
    st.tuples(st.just("read_list"), ROUTER),
    st.tuples(st.just("read_changes"), ROUTER),
    st.tuples(st.just("report"), ROUTER, ROUTER),
    st.tuples(st.just("deliver"), st.integers(0, 9), st.booleans()),
    st.tuples(st.just("deliver"), st.integers(0, 9), st.booleans()),
)


class MergePropertyTest(unittest.TestCase):
    """Guards against a late reply or report that undoes a newer set."""

    @settings(max_examples=400, deadline=None)
    @given(st.lists(STEP, max_size=60))
    def test_each_router_holds_a_state_that_the_store_had_and_all_agree(
        self, steps
    ):
        world = _World(self)
        for name, *arguments in steps:
            if name == "deliver":
                index, keep = arguments
                world.deliver(index, keep=keep)
            else:
                getattr(world, name)(*arguments)
        world.settle()
        expected = sorted(world.names)[:MAX_ZONES]
        for state in world.routers:
            self.assertEqual(state.revision, world.revision)
            self.assertEqual(list(state.names), expected)


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = TargetRegistry()
        self.east = RegisteredTarget("e", "s", "10.0.0.1:80", "east", 8)
        self.west = RegisteredTarget("w", "s", "10.0.0.2:80", "west", 8)
        self.registry.put(self.east)
        self.registry.put(self.west)

    def ids(self, service="s"):
        return {t.id for t in self.registry.serving_targets(service)}

    def test_targets_in_evacuated_zones_take_no_requests(self):
        self.registry.set_evacuated_zones(frozenset(("east", "nowhere")))
        self.assertEqual(self.ids(), {"w"})
        self.assertEqual(len(self.registry.undrained_targets("s")), 2)
        self.assertIn("e", self.registry.all())
        self.registry.put(self.east._replace(id="e2"))
        self.assertEqual(self.ids(), {"w"})
        self.registry.set_evacuated_zones(frozenset())
        self.assertEqual(self.ids(), {"e", "e2", "w"})

    def test_before_the_zones_are_known_no_target_takes_requests(self):
        self.registry.set_evacuated_zones(None)
        self.assertEqual(self.ids(), set())
        self.registry.put(self.east._replace(id="e2"))
        self.assertEqual(self.ids(), set())

    def test_a_target_that_moves_to_another_zone_follows_that_zone(self):
        self.registry.set_evacuated_zones(frozenset(("east",)))
        self.registry.put(self.east._replace(zone="west"))
        self.registry.put(self.west._replace(zone="east"))
        self.assertEqual(self.ids(), {"e"})

    def test_versions_in_evacuated_zones_stay_known_but_do_not_serve(self):
        # A version that serves only there must not keep streams from beginning
        # at another version, and must not count as gone.
        self.registry.set_evacuated_zones(frozenset(("east",)))
        observed = {
            t.id: t.draining
            for t in self.registry.all_with_evacuated_draining()
        }
        self.assertEqual(observed, {"e": True, "w": False})
        self.assertFalse(self.registry.all()["e"].draining)


if __name__ == "__main__":
    unittest.main()
