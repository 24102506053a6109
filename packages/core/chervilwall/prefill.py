"""Prediction of prefill times, calibrated by observed first-token times.

Prefill is the phase in which a model engine processes the prompt, before it
generates the first token.
"""

import math
from collections import Counter

from chervilwall.start_latency import StartLatency

# Nominal speed: that of a target with factor 1. Both values are only a starting
# point, as the factors of the targets are learned within seconds.
TOKENS_PER_S = 60_000.0
PROMPT_OVERHEAD_S = 0.004
# Attention relates each processed token to all tokens before it, so its cost
# grows with the number of such pairs.
TOKEN_PAIR_S = 2.5e-10
# Weight of a new sample in the moving average of a target's factor. The first
# samples weigh more, as the nominal speed says little about a target.
SAMPLE_WEIGHT = 0.08
# The same for a target that reports its momentary slowdown. Its factor is to be
# steady: with the weight above, it follows what a late report has not told yet,
# which then counts twice.
REPORTED_SAMPLE_WEIGHT = 0.02
# Makes the weight of the first sample 1/4, so that one fault does not decide.
FIRST_SAMPLES_OFFSET = 3
# Factors are clamped to these bounds, as values outside them are caused by
# faults, not by a target's speed.
MIN_FACTOR = 0.2
MAX_FACTOR = 8.0
# Shorter predictions are samples of the start latency, which takes most of the
# observed time then, and not of a target's factor.
MIN_SAMPLE_S = 0.03


class PrefillModel:
    """Predict prefill times by target.

    The prediction is a fixed time, a time for each uncached token and a time
    for attention, multiplied by a factor for each target. The factors are
    moving averages of the ratio of observed to predicted times, on a log scale.

    Attributes:
        start_latency (StartLatency): Part of the time to the first token that
            is not prefill, by service.
    """

    def __init__(self) -> None:
        self.start_latency = StartLatency()
        self._log_factors: dict[str, float] = {}
        self._samples: Counter[str] = Counter()
        self._factors: dict[str, float] = {}
        self._mean_log = 0.0
        self._mean = 1.0

    def __repr__(self) -> str:
        return f"PrefillModel(targets={len(self._log_factors)})"

    def factor(self, target_id: str) -> float:
        """Returns a target's prefill time relative to that at nominal speed.

        Targets without samples get the mean factor of the others.
        """
        return self._factors.get(target_id, self._mean)

    def work_s(
        self, target_id: str, uncached_tokens: int, cached_tokens: int = 0
    ) -> float:
        """Returns the predicted prefill time of a prompt, in seconds.

        Args:
            target_id (str): Target that runs the request.
            uncached_tokens (int): Tokens of the prompt that are not cached.
            cached_tokens (int): Cached tokens that precede them.
        """
        return nominal_prefill_s(uncached_tokens, cached_tokens) * self.factor(
            target_id
        )

    def tokens_per_s(self, target_id: str) -> float:
        """Returns a target's prefill speed, without the attention cost."""
        return TOKENS_PER_S / self.factor(target_id)

    def mean_work_s(self, uncached_tokens: int, cached_tokens: int) -> float:
        """Returns the predicted prefill time at mean speed, in seconds."""
        return nominal_prefill_s(uncached_tokens, cached_tokens) * self._mean

    def observe(
        self,
        target_id: str,
        predicted_s: float,
        first_token_s: float,
        predicted_factor: float,
        slowdown_ratio: float | None = None,
        *,
        service: str = "",
    ) -> None:
        """Updates a target's factor, or the start latency of its service.

        Args:
            target_id (str): Target that ran the request.
            predicted_s (float): Predicted prefill time of the prompt and of
                those queued before it.
            first_token_s (float): Observed time to the first token.
            predicted_factor (float): Factor that the prediction used, which
                may have changed since.
            slowdown_ratio (float | None): Reported slowdown while the request
                ran, relative to that which the prediction used. The factor
                does not include it, as a slowdown lasts for a few samples
                only. None if the target reports none.
            service (str): Service of the target. Defaults to "".
        """
        if predicted_s < MIN_SAMPLE_S:
            self.start_latency.observe(service, first_token_s - predicted_s)
            return
        first_token_s -= self.start_latency.seconds(service)
        min_weight = SAMPLE_WEIGHT
        if slowdown_ratio is not None:
            first_token_s /= slowdown_ratio
            min_weight = REPORTED_SAMPLE_WEIGHT
        if first_token_s <= 0:
            return
        known = self._log_factors.get(target_id, self._mean_log)
        observed = math.log(predicted_factor * first_token_s / predicted_s)
        observed = min(
            math.log(MAX_FACTOR), max(math.log(MIN_FACTOR), observed)
        )
        self._samples[target_id] += 1
        count = self._samples[target_id] + FIRST_SAMPLES_OFFSET
        weight = max(min_weight, 1.0 / count)
        log_factor = known + weight * (observed - known)
        self._log_factors[target_id] = log_factor
        self._factors[target_id] = math.exp(log_factor)
        self._update_mean()

    def forget(self, target_id: str) -> None:
        """Removes a target that ended."""
        self._log_factors.pop(target_id, None)
        self._samples.pop(target_id, None)
        self._factors.pop(target_id, None)
        self._update_mean()

    def _update_mean(self) -> None:
        known = self._log_factors.values()
        self._mean_log = sum(known) / len(known) if known else 0.0
        self._mean = math.exp(self._mean_log)


def nominal_prefill_s(uncached_tokens: int, cached_tokens: int) -> float:
    """Returns the prefill time on a target with factor 1, in seconds."""
    pairs = uncached_tokens * (cached_tokens + uncached_tokens / 2)
    read_s = uncached_tokens / TOKENS_PER_S
    return PROMPT_OVERHEAD_S + read_s + TOKEN_PAIR_S * pairs
