"""Decision of an overloaded router to relay new connections to idle peers.

Designed for a flood of one team's requests at a single small host while the
other hosts of its zone are nearly idle. Copying the bytes of a connection takes
about a third of the processor time of serving it. The share of new connections
that are relayed rises while the host is overloaded and falls slowly, as
connections last for seconds before a change of the share shows.
"""

import random
from collections import Counter
from collections.abc import Collection, Sequence
from typing import NamedTuple

# Thresholds of the event loop lag, as multiples of the maximum delay of an
# event. HostLoad refuses from 0.4 on, and relaying begins before that.
RISE_LAG = 0.2
FALL_LAG = 0.1
# Lag from which no further connection is relayed: relaying takes processor
# time too, and HostLoad refuses nearly all requests at this lag.
MAX_LAG = 2.0
# Thresholds of the fraction of the processor share that the process uses.
RISE_CPU = 0.75
FALL_CPU = 0.55
# A host below these accepts the connections of others. They are below the
# thresholds at which it relays its own, so that none passes on its load.
ACCEPT_LAG = 0.1
ACCEPT_CPU = 0.5
# With fewer requests in flight, lag and use are not attributed to callers.
MIN_REQUESTS = 8
# Changes of the relayed share of new connections with each sample. Samples are
# taken every SAMPLE_INTERVAL_S: the share rises to 1 in half a second and falls
# to 0 in five.
SAMPLE_INTERVAL_S = 0.1
RISE_STEP = 0.2
FALL_STEP = 0.02
# Half-life of a sample of the processor use. Hosts with a part of a processor
# are stopped for parts of 0.1 s, so single samples vary widely.
CPU_HALF_LIFE_S = 0.25
# Rate of the processor clock, relative to elapsed time, from which a sample
# says nothing on a host with a smaller share: some platforms count elapsed time
# as processor time, and idle hosts would take themselves for busy.
MAX_CLOCK_RATE = 0.95
# Time for which a peer that refused a connection is not chosen.
REFUSAL_PAUSE_S = 2.0
# Time for which a peer that is unreachable, silent or of an older version is
# not chosen.
FAILURE_PAUSE_S = 10.0
# Least weight of a peer whose processors are unknown.
MIN_CPU = 0.01


class RelayPeer(NamedTuple):
    """A ready router of the same zone.

    Args:
        name (str): Name of the router.
        address (str): "IP:port" at which it accepts relayed connections.
        cpu (float): Processors of its host. Defaults to 1.
        is_hub (bool): Whether it is a hub, which has further work. Defaults to
            False.
    """

    name: str
    address: str
    cpu: float = 1.0
    is_hub: bool = False


class CpuUse:
    """Estimate the fraction of its processor share that a process uses.

    Args:
        share (float): Processors available to the process. Its single thread
            uses at most one.
    """

    def __init__(self, share: float) -> None:
        self._share = min(1.0, max(MIN_CPU, share))
        self._last_cpu_s = 0.0
        self._last_at: float | None = None
        self.fraction = 0.0

    def __repr__(self) -> str:
        return f"CpuUse(fraction={self.fraction:.2f})"

    def record(self, cpu_s: float, now: float) -> None:
        """Records the processor time that the process has used so far.

        Args:
            cpu_s (float): Processor time in seconds since the process began.
            now (float): Monotonic time.
        """
        if self._last_at is not None and now > self._last_at:
            elapsed_s = now - self._last_at
            rate = (cpu_s - self._last_cpu_s) / elapsed_s
            is_credible = rate < MAX_CLOCK_RATE or self._share >= MAX_CLOCK_RATE
            used = rate / self._share if is_credible else 0.0
            kept = 0.5 ** (elapsed_s / CPU_HALF_LIFE_S)
            self.fraction = kept * self.fraction + (1.0 - kept) * used
        self._last_cpu_s, self._last_at = cpu_s, now


class ConnectionRelay:
    """Decide which new connections are relayed, and to which peers.

    Args:
        event_delay_s (float): Maximum time in seconds that this host may take
            to relay an event of a stream.
        max_relays (int): Maximum number of concurrent relays in each direction.

    Attributes:
        share (float): Fraction of the new connections that are relayed.
        lag (float): Last event loop lag, as a multiple of `event_delay_s`.
        cpu (float): Last use of the processor share.
    """

    def __init__(self, event_delay_s: float, max_relays: int) -> None:
        self._event_delay_s = event_delay_s
        self._max_relays = max_relays
        self._paused_until: dict[str, float] = {}
        self._relays: Counter[str] = Counter()
        self.share = 0.0
        self.lag = 0.0
        self.cpu = 0.0

    def __repr__(self) -> str:
        return f"ConnectionRelay(share={self.share:.2f})"

    def record_load(self, lag_s: float, cpu: float, requests: int) -> None:
        """Adjusts the relayed share; called every SAMPLE_INTERVAL_S.

        Between the thresholds for rising and falling the share stays.

        Args:
            lag_s (float): Event loop lag in seconds.
            cpu (float): Fraction of the processor share in use.
            requests (int): Requests being served by this host.
        """
        self.lag, self.cpu = lag_s / self._event_delay_s, cpu
        is_busy = self.lag >= RISE_LAG or cpu >= RISE_CPU
        if is_busy and (self.share > 0.0 or requests >= MIN_REQUESTS):
            self.share = min(1.0, self.share + RISE_STEP)
        elif self.lag < FALL_LAG and cpu < FALL_CPU:
            self.share = max(0.0, round(self.share - FALL_STEP, 6))

    def should_relay(self, rng: random.Random, current: int) -> bool:
        """Returns whether a new connection is to be relayed.

        Args:
            rng (random.Random): Selects the relayed share.
            current (int): Relays of this host that are open or being opened.
        """
        if not self.share or self.lag >= MAX_LAG:
            return False
        return current < self._max_relays and rng.random() < self.share

    def accepts(self, current: int) -> bool:
        """Returns whether this host accepts a connection of another one.

        Args:
            current (int): Connections of others that this host serves.
        """
        is_idle = self.lag < ACCEPT_LAG and self.cpu < ACCEPT_CPU
        return is_idle and not self.share and current < self._max_relays

    def choose_peer(
        self,
        peers: Sequence[RelayPeer],
        rng: random.Random,
        now: float,
        *,
        tried: Collection[str] = (),
    ) -> RelayPeer | None:
        """Returns the peer to relay a connection to, or None.

        Of two peers drawn at random, weighted by their processors, the one
        with fewer relays of this host for its processors is chosen. Hubs are
        chosen only if there are no others.

        Args:
            peers (Sequence): The ready routers of this zone.
            rng (random.Random): Draws the peers.
            now (float): Monotonic time.
            tried (Collection): Names of peers that did not accept this
                connection.
        """
        usable = [
            p
            for p in peers
            if p.name not in tried
            and self._paused_until.get(p.name, now) <= now
        ]
        usable = [p for p in usable if not p.is_hub] or usable
        if not usable:
            return None
        weights = [max(MIN_CPU, p.cpu) for p in usable]
        drawn = rng.choices(usable, weights, k=2)
        return min(
            drawn,
            key=lambda p: (1 + self._relays[p.name]) / max(MIN_CPU, p.cpu),
        )

    def begin(self, name: str) -> None:
        """Records a relay to a peer."""
        self._relays[name] += 1

    def end(self, name: str) -> None:
        """Records the end of a relay to a peer."""
        self._relays[name] -= 1
        if self._relays[name] <= 0:
            del self._relays[name]

    def record_refusal(self, name: str, now: float) -> None:
        """Pauses a peer that refused a connection."""
        self._pause(name, now, REFUSAL_PAUSE_S)

    def record_failure(self, name: str, now: float) -> None:
        """Pauses a peer that did not answer."""
        self._pause(name, now, FAILURE_PAUSE_S)

    def _pause(self, name: str, now: float, pause_s: float) -> None:
        self._paused_until = {
            n: until for n, until in self._paused_until.items() if until > now
        }
        self._paused_until[name] = now + pause_s
