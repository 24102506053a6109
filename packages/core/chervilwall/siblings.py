"""Cooperation of sibling cells, which are the cells of one service.

Siblings offer each other free slots and exchange the cost charged to teams, so
that shares hold across all cells of the service.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from chervilwall.cell_messages import ServiceReport, TeamService

# Bounds of the interval between two offers of free slots by one cell.
MIN_ANNOUNCE_INTERVAL_S = 0.05
MAX_ANNOUNCE_INTERVAL_S = 1.0
# Offers that are older than this are ignored.
OFFER_TTL_S = 2.0
# Interval between the reports of costs, to the hub and from it.
SERVICE_EXCHANGE_INTERVAL_S = 2.0
# Costs up to this amount are not reported.
MIN_REPORTED_COST = 1e-9

# Cost charged, by team.
ServiceByTeam = defaultdict[str, float]


class SlotOffer(NamedTuple):
    """Free slots offered by a sibling.

    Args:
        slots (int): Slots not yet taken.
        expires_at (float): Monotonic time of expiry, in seconds.
    """

    slots: int
    expires_at: float


class SlotOffers:
    """Keep the unexpired offers of free slots, by sibling cell."""

    def __init__(self) -> None:
        self._offers: dict[str, SlotOffer] = {}

    def __repr__(self) -> str:
        return f"SlotOffers(cells={len(self._offers)})"

    def put(self, cell: str, slots: int, now: float) -> None:
        """Records a cell's offer, which replaces its previous one."""
        self._offers[cell] = SlotOffer(slots, now + OFFER_TTL_S)

    def take(self, now: float) -> str | None:
        """Takes one offered slot; returns its cell, None without offers."""
        for cell, offer in list(self._offers.items()):
            if offer.expires_at < now or offer.slots <= 0:
                del self._offers[cell]
                continue
            self._offers[cell] = offer._replace(slots=offer.slots - 1)
            return cell
        return None


class SlotAnnouncer:
    """Schedule the offers of free slots that an idle cell sends to siblings.

    Offers go to the siblings in turn. The interval doubles with each offer, so
    that an idle fleet sends few messages, and is reset when the cell receives
    a request.
    """

    def __init__(self) -> None:
        self._interval_s = MIN_ANNOUNCE_INTERVAL_S
        self._next_announcement_at = 0.0
        self._announcements = 0

    def __repr__(self) -> str:
        return f"SlotAnnouncer(interval_s={self._interval_s:g})"

    def reset(self) -> None:
        """Resets the interval to its minimum and makes an offer due."""
        self._interval_s = MIN_ANNOUNCE_INTERVAL_S
        self._next_announcement_at = 0.0

    def due(self, siblings: list[str], now: float) -> str | None:
        """Returns the sibling to send an offer to now, if one is due."""
        if not siblings or now < self._next_announcement_at:
            return None
        self._next_announcement_at = now + self._interval_s
        self._interval_s = min(MAX_ANNOUNCE_INTERVAL_S, 2 * self._interval_s)
        self._announcements += 1
        return siblings[self._announcements % len(siblings)]


class ServiceHub:
    """Sum the costs of all cells, and report to each cell those of the others.

    Messages carry the amounts since the previous message rather than totals. A
    restart of the hub therefore causes no wrong amounts, and a lost message
    affects the amounts of one interval only.
    """

    def __init__(self) -> None:
        self._service_by_cell: dict[str, ServiceByTeam] = {}

    def __repr__(self) -> str:
        return f"ServiceHub(cells={len(self._service_by_cell)})"

    def add(self, msg: ServiceReport) -> None:
        """Adds the costs that a cell reports."""
        service = self._service_by_cell.setdefault(msg.cell, defaultdict(float))
        for team, cost in msg.served:
            service[team] += cost

    def take_messages(self, cells: Iterable[str]) -> list[ServiceReport]:
        """Returns the messages to the cells, and resets the amounts.

        Args:
            cells (Iterable): Names of the cells of the service.
        """
        total: ServiceByTeam = defaultdict(float)
        for service in self._service_by_cell.values():
            for team, cost in service.items():
                total[team] += cost
        out = []
        for cell in cells:
            own_service: Mapping[str, float] = self._service_by_cell.get(
                cell, {}
            )
            others = {
                t: cost - own_service.get(t, 0.0) for t, cost in total.items()
            }
            if update := make_service_message(cell, others, from_hub=True):
                out.append(update)
        self._service_by_cell = {}
        return out


def make_service_message(
    cell: str, service: Mapping[str, float], *, from_hub: bool
) -> ServiceReport | None:
    """Returns a message that reports costs, or None if there are none.

    Args:
        cell (str): Cell that sends the message, or that the hub sends it to.
        service (Mapping): Cost charged, by team. Negative amounts correct
            earlier ones; an absolute value up to `MIN_REPORTED_COST` is
            omitted.
        from_hub (bool): Whether the message goes from the hub to a cell.
    """
    reported = tuple(
        TeamService(team, cost)
        for team, cost in service.items()
        if abs(cost) > MIN_REPORTED_COST
    )
    return ServiceReport(cell, from_hub, reported) if reported else None
