"""Time to the first token that does not depend on the prompt.

Designed for engines that start each request with a fixed delay, such as the
pipeline of a large model. The delay passes for all requests of an engine at
once. If it were taken for prefill time, the engines would seem to be busy while
they are idle, and requests would be refused.
"""

# Delay before it has been measured: a network round trip and one decoding step.
START_LATENCY_S = 0.012
# Longer delays are caused by faults or by queues that are not known here.
MAX_START_LATENCY_S = 0.25
# Quantile of the measured delays that is tracked. It is below the median, as
# queues that the predictions do not know only lengthen the samples.
QUANTILE = 0.3
# Change by one sample, as a fraction of the delay.
SAMPLE_STEP = 0.1


class StartLatency:
    """Track the fixed delay of the engines of each service."""

    def __init__(self) -> None:
        self._latencies: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"StartLatency({self._latencies})"

    def seconds(self, service: str) -> float:
        """Returns the fixed delay of a service, in seconds."""
        return self._latencies.get(service, START_LATENCY_S)

    def excess_s(self, service: str) -> float:
        """Returns the seconds by which the delay exceeds START_LATENCY_S.

        Latency objectives allow for that much anyway.
        """
        return max(0.0, self.seconds(service) - START_LATENCY_S)

    def observe(self, service: str, delay_s: float) -> None:
        """Records a measured delay.

        Args:
            service (str): Service of the engine.
            delay_s (float): Observed time to the first token minus the
                predicted prefill time, in seconds.
        """
        known = self.seconds(service)
        step = QUANTILE if delay_s > known else QUANTILE - 1.0
        moved = known * (1.0 + SAMPLE_STEP * step)
        self._latencies[service] = min(
            MAX_START_LATENCY_S, max(START_LATENCY_S, moved)
        )
