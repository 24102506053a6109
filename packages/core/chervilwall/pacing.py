"""Periods of background work, scaled with the size of the fleet."""

# Reads of the list of hosts and of the configuration, and writes of counters,
# per second over the whole fleet. Below the object service's rate limits, which
# apply to all of its clients together.
HOSTS_READS_PER_S = 150.0
CONFIG_READS_PER_S = 40.0
COUNTER_WRITES_PER_S = 60.0
# Rounds per second over the whole fleet, bounded by the CPU budget of a router:
# syncs of requests with their schedulers, polls of the targets' load, copies of
# usage rows to other routers, and membership probes.
SYNC_ROUNDS_PER_S = 37.0
LOAD_ROUNDS_PER_S = 150.0
COPY_ROUNDS_PER_S = 370.0
PROBE_ROUNDS_PER_S = 370.0
# Polls of targets per second by the router that holds the orders lease.
ORDER_POLLS_PER_S = 3.4


def scaled_period_s(base_s: float, members: int, rounds_per_s: float) -> float:
    """Returns the period at which a fleet stays within a rate limit.

    Args:
        base_s (float): Minimum period in seconds, used by small fleets.
        members (int): Number of members that run a round in each period.
        rounds_per_s (float): Maximum rounds per second over all members.
    """
    return max(base_s, members / rounds_per_s)
