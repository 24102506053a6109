"""Cells of one service: they share room and account for each other."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from chervilwall.message import CellService, TeamService

ROOM_FIRST_S = 0.05
ROOM_LAST_S = 1.0
ROOM_TTL_S = 2.0
SERVICE_INTERVAL_S = 2.0
LEAST_COST = 1e-9

# Service by team.
ServiceByTeam = defaultdict[str, float]


class Offer(NamedTuple):
    """Free slots that a sibling told of."""

    slots: int
    until: float


class RoomOffers:
    """Remember which siblings have free slots."""

    def __init__(self) -> None:
        self._offers: dict[str, Offer] = {}

    def __repr__(self) -> str:
        return f"RoomOffers(cells={len(self._offers)})"

    def put(self, cell: str, slots: int, now: float) -> None:
        """Notes an offer, in the place of an older one."""
        self._offers[cell] = Offer(slots, now + ROOM_TTL_S)

    def take(self, now: float) -> str | None:
        """Takes one free slot of a sibling; returns its cell, if any."""
        for cell, offer in list(self._offers.items()):
            if offer.until < now or offer.slots <= 0:
                del self._offers[cell]
                continue
            self._offers[cell] = offer._replace(slots=offer.slots - 1)
            return cell
        return None


class RoomAnnouncer:
    """Decide when an idle cell tells a sibling of its room.

    The pause doubles while nothing comes of it, so that an idle fleet is
    quiet, and starts short again with new work.
    """

    def __init__(self) -> None:
        self._pause_s = ROOM_FIRST_S
        self._next_at = 0.0
        self._turn = 0

    def __repr__(self) -> str:
        return f"RoomAnnouncer(pause_s={self._pause_s:g})"

    def reset(self) -> None:
        """Starts with the short pause again."""
        self._pause_s = ROOM_FIRST_S
        self._next_at = 0.0

    def due(self, siblings: list[str], now: float) -> str | None:
        """Returns the sibling to tell now, if any."""
        if not siblings or now < self._next_at:
            return None
        self._next_at = now + self._pause_s
        self._pause_s = min(ROOM_LAST_S, 2 * self._pause_s)
        self._turn += 1
        return siblings[self._turn % len(siblings)]


class ServiceHub:
    """Sum up the service of all cells and tell each what the others gave.

    It passes on amounts and not totals, so a hub that starts empty misstates
    nothing, and a lost message costs one interval's accuracy.
    """

    def __init__(self) -> None:
        self._served: dict[str, ServiceByTeam] = {}

    def __repr__(self) -> str:
        return f"ServiceHub(cells={len(self._served)})"

    def add(self, msg: CellService) -> None:
        """Takes in what a cell gave."""
        served = self._served.setdefault(msg.cell, defaultdict(float))
        for team, cost in msg.served:
            served[team] += cost

    def drain(self, cells: Iterable[str]) -> list[CellService]:
        """Returns what to tell each cell, and starts again."""
        total: ServiceByTeam = defaultdict(float)
        for served in self._served.values():
            for team, cost in served.items():
                total[team] += cost
        out = []
        for cell in cells:
            own: Mapping[str, float] = self._served.get(cell, {})
            others = {t: cost - own.get(t, 0.0) for t, cost in total.items()}
            if message := make_service(cell, others, from_hub=True):
                out.append(message)
        self._served = {}
        return out


def make_service(
    cell: str, served: Mapping[str, float], *, from_hub: bool
) -> CellService | None:
    """Returns the message that tells of service, or None for no service."""
    found = tuple(
        TeamService(team, cost)
        for team, cost in served.items()
        if abs(cost) > LEAST_COST
    )
    return CellService(cell, from_hub, found) if found else None
