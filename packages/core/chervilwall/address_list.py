"""Selection of the router addresses that a caller should connect to.

Designed for callers in several availability zones and a fleet of hundreds of
routers. Callers use routers in their own zone and get the same ones each time
they ask, so that their connections last. If a zone has lost most of its
routers, its callers use routers in other zones as well. A fleet that is small
enough for one response is listed completely, whatever the zones.
"""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from chervilwall.rendezvous import score

# Maximum number of addresses that callers use from one response.
MAX_ADDRESSES = 64
# Callers stay within their zone only if it has at least this fraction of the
# routers that it would have if all zones had the same number.
MIN_LOCAL_FRACTION = 0.5
# Busy routers are left out only if there are this many others for each of them.
MIN_IDLE_PER_BUSY = 3


class CallerAddress(NamedTuple):
    """The address at which a router accepts callers.

    Args:
        address (str): The address.
        zone (str): Availability zone of the router.
    """

    address: str
    zone: str = ""


def choose_addresses(
    ready: Mapping[str, CallerAddress],
    zone: str,
    *,
    busy: Collection[str] = (),
) -> list[str]:
    """Returns up to MAX_ADDRESSES router addresses for the callers of a zone.

    If there are at most MAX_ADDRESSES routers, all of them are returned,
    including busy ones and those of other zones. Otherwise they are ranked by
    rendezvous hashing on the zone, so the result changes little when routers
    come and go.

    Args:
        ready (Mapping): Routers that accept callers, by name.
        zone (str): Availability zone of the callers, "" if unknown.
        busy (Collection): Names of routers that have other tasks, such as
            hubs, and are left out if there are enough others.
    """
    if len(ready) <= MAX_ADDRESSES:
        return [r.address for r in ready.values()]
    names = [n for n in ready if n not in busy]
    if len(names) < MIN_IDLE_PER_BUSY * (len(ready) - len(names)):
        names = list(ready)
    zones = {ready[n].zone for n in names}
    local = [n for n in names if ready[n].zone == zone]
    min_local = MIN_LOCAL_FRACTION * len(names) / len(zones)
    ranked = sorted(names, key=lambda n: score(zone, n), reverse=True)
    if len(local) >= min_local:
        ranked = [n for n in ranked if ready[n].zone == zone]
    return [ready[n].address for n in ranked[:MAX_ADDRESSES]]
