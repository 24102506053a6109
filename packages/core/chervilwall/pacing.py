"""Periods of background work that grow with the fleet."""

# Fleet-wide rates a second, below what the platform allows to all callers.
HOSTS_READS_PER_S = 150.0
CONFIG_READS_PER_S = 40.0
COUNTER_WRITES_PER_S = 60.0
# Fleet-wide rounds a second, for the processor budget of a router.
SYNC_ROUNDS_PER_S = 37.0
LOAD_ROUNDS_PER_S = 150.0
COPY_ROUNDS_PER_S = 370.0
PROBE_ROUNDS_PER_S = 370.0
# Polls of targets a second by the holder of the lease on orders.
ORDER_POLLS_PER_S = 3.4


def paced_s(base_s: float, members: int, rounds_per_s: float) -> float:
    """Returns a period that holds a fleet-wide rate.

    Args:
        base_s (float): Period of a small fleet, in seconds.
        members (int): How many routers do the work.
        rounds_per_s (float): Most rounds a second over all of them.
    """
    return max(base_s, members / rounds_per_s)
