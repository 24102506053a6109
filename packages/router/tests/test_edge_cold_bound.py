"""Property tests of the bound on the requests to a cold target.

Each router has its own FleetView, PeerTable and RequestPacer, and tries to send
at every step, as if the scheduler answered none of them. Reports are exchanged
as FleetView directs them, with loss and delay. Routers are killed, restarted
and partitioned at random; requests are sent late or not at all.
"""

import heapq
import itertools
import random
import unittest

from chervilwall.cold_rates import MAX_DELAY_S, ColdRates, ColdSettings
from chervilwall.cold_targets import ColdTargets
from chervilwall.edge_messages import EdgeReport
from chervilwall.hubs import HubCandidate
from chervilwall.peers import REPORT_INTERVAL_S, PeerTable
from chervilwall.registry import RegisteredTarget
from chervilwall.request_pacer import RequestPacer, RequestSpacing
from chervilwall.routing import Service
from chervilwall.store_era import StoreRevision
from chervilwall.target_limits import TargetLimits
from chervilwall_router.edge.fleet_view import FleetParts, FleetView

SETTINGS = ColdSettings(rate_factor=1.5, slack=5.0)
TARGET = RegisteredTarget("t", "svc", "a:1", "z", 8, warmup_s=60.0, born_ms=1)
MESH_MOST = 16
STEP_S = 0.02
RUN_S = 12.0
LOSS = 0.02


class _Router:
    """A router of a simulated fleet, from its start until it is killed."""

    incarnations = itertools.count(1)

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.incarnation = next(self.incarnations)
        self.sequence = 0
        self.joins_at = world.now + world.rng.choice((0.0, 0.1, 0.6))
        self.peers = PeerTable(name)
        self.view = FleetView(
            FleetParts(
                name=name,
                address=name,
                me=HubCandidate(1.0, "z"),
                max_mesh_routers=MESH_MOST,
                peers=self.peers,
                addresses={n: n for n in world.names if n != name},
                has_joined=lambda: world.now >= self.joins_at,
                is_ready=lambda: world.now >= self.joins_at,
                clock=lambda: world.now,
            )
        )
        cold = ColdTargets(True)
        service = Service("svc", cold_time_s=60.0, cold_rate_per_s=world.per_s)
        cold.configure({"svc": service}, world.now)
        cold.record_registrations({TARGET.id: TARGET}, world.now)
        rates = ColdRates(cold, SETTINGS, self.view.cold_fraction)
        self.pacer = RequestPacer(
            TargetLimits(), lambda service: 1.0, [RequestSpacing(rates)]
        )
        self.reports_at = world.now + world.rng.random() * REPORT_INTERVAL_S

    def report(self):
        """Sends a report to the recipients that the fleet view names."""
        recipients = self.view.recipients()
        self.sequence += 1
        report = EdgeReport(
            self.sequence,
            self.name,
            self.name,
            self.name,
            "z",
            self.world.now >= self.joins_at,
            1,
            StoreRevision(),
            hub=bool(recipients.short_report),
            store_reachable=True,
        )
        for address in recipients.full_report | recipients.short_report:
            self.world.deliver(self, address, report)


class _World:
    """A fleet, its network and one cold target that counts what it gets."""

    def __init__(self, seed, count):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.per_s = self.rng.choice((0.5, 2.0, 5.0, 7.6, 9.3, 30.0))
        self.names = [f"r{number}" for number in range(count)]
        self.groups = dict.fromkeys(self.names, 0)
        self.frames = []
        self.order = itertools.count()
        self.routers = {}
        self.sent_at = []
        for name in self.names:
            self.routers[name] = _Router(self, name)

    def deliver(self, sender, address, report):
        """Delivers a report unless it is lost or the network is cut."""
        is_cut = self.groups[sender.name] != self.groups[address]
        if is_cut or self.rng.random() < LOSS:
            return
        at = self.now + self.rng.uniform(0.0005, 0.03)
        frame = (sender.name, sender.incarnation, report)
        heapq.heappush(self.frames, (at, next(self.order), address, frame))

    def step(self):
        """Advances the time: delivers and sends reports, sends requests."""
        self.now += STEP_S
        while self.frames and self.frames[0][0] <= self.now:
            _, _, address, frame = heapq.heappop(self.frames)
            if address in self.routers:
                self.routers[address].peers.receive(*frame, self.now)
        for router in list(self.routers.values()):
            if self.now >= router.reports_at:
                router.reports_at += REPORT_INTERVAL_S
                router.report()
            self.try_to_send(router)

    def try_to_send(self, router):
        """Lets a router send a request if its pacer allows it."""
        if router.pacer.wait_s(TARGET, self.now) > 0:
            return
        router.pacer.record_sent(TARGET, self.now)
        fate = self.rng.random()
        if fate < 0.1:
            router.pacer.record_not_sent(TARGET, self.now)
            return
        delay_s = self.rng.choice((0.0, self.rng.random() * MAX_DELAY_S))
        if fate > 0.9:
            delay_s = MAX_DELAY_S
        self.sent_at.append(self.now + delay_s)

    def kill(self, names):
        for name in names:
            self.routers.pop(name, None)

    def start(self, names):
        for name in names:
            if name not in self.routers:
                self.routers[name] = _Router(self, name)

    def disturb(self):
        """Changes the fleet or its network at random."""
        choice = self.rng.randrange(6)
        if choice == 0:
            self.kill(self.names)
            self.start(self.names)
        elif choice == 1:
            self.kill([n for n in self.names if self.schedules(n)])
        elif choice == 2:
            self.start(self.names)
        elif choice == 3:
            self.groups = dict.fromkeys(self.names, 0)
        else:
            parts = self.rng.choice((2, 2, 3, 5))
            self.groups = {n: self.rng.randrange(parts) for n in self.names}

    def schedules(self, name):
        router = self.routers.get(name)
        return router and router.view.find_scheduler("svc", ()) is None

    def run(self, *, is_disturbed):
        """Runs the fleet; returns the times at which requests were sent."""
        next_at = self.now + 3.0
        end = self.now + RUN_S
        while self.now < end:
            self.step()
            if is_disturbed and self.now >= next_at:
                self.disturb()
                next_at = self.now + self.rng.choice((0.3, 1.0, 2.5, 4.0))
        return sorted(self.sent_at)

    @property
    def bound(self):
        return self.per_s * SETTINGS.rate_factor + SETTINGS.slack


def most_in_any_second(times):
    """Returns the largest number of times within any one second."""
    most = first = 0
    for last, at in enumerate(times):
        while at - times[first] >= 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


class ColdBoundTest(unittest.TestCase):
    def check(self, seed, count):
        world = _World(seed, count)
        most = most_in_any_second(world.run(is_disturbed=True))
        self.assertLessEqual(most, world.bound, f"seed {seed}, {count} routers")

    def test_small_fleets_stay_within_the_bound(self):
        # Guards against several schedulers, or routers in their place, that
        # send more together than a cold target tolerates.
        for seed in range(40):
            self.check(seed, (1, 2, 3, 4, 7, 12)[seed % 6])

    def test_fleets_with_hubs_stay_within_the_bound(self):
        for seed, count in ((1, 17), (2, 30), (3, 60), (4, 300)):
            self.check(seed, count)

    def test_an_undisturbed_fleet_uses_most_of_what_is_tolerated(self):
        # Guards against a bound that is kept because hardly anything is sent.
        # Of the rate, 0.76 of what is tolerated, a tenth is not sent here, and
        # another tenth is lost to the steps of the simulation.
        for count in (1, 2, 3, 12, 30):
            world = _World(11, count)
            world.per_s = 9.3
            world.names = world.names[:count]
            world.kill(list(world.routers))
            world.start(world.names)
            sent = world.run(is_disturbed=False)
            used_s = RUN_S - 3.0
            late = [at for at in sent if at > 103.0]
            with self.subTest(count):
                self.assertGreater(len(late), 0.55 * 9.3 * used_s)
                self.assertLessEqual(most_in_any_second(sent), world.bound)


if __name__ == "__main__":
    unittest.main()
