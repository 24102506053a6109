"""Periods of background work, scaled with the size of the fleet."""

# Fleet-wide rates per second, below the platform's limits for all its callers.
HOSTS_READS_PER_S = 150.0
CONFIG_READS_PER_S = 40.0
COUNTER_WRITES_PER_S = 60.0
# Fleet-wide rounds per second, bounded by the CPU budget of a router.
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
