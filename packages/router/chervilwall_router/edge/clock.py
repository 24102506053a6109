"""Monotonic clock for grants and deadlines."""

import time


def elapsed_s() -> float:
    """Returns the seconds since the host booted, including suspended time.

    time.monotonic() stops while the host is suspended, so a resumed host would
    act on grants and deadlines that expired in the meantime.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
