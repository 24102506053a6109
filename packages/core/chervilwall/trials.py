"""When a request that is refused for its crashes may run once more."""

# Crashes from which on a request is refused until its trial.
REFUSED_CRASHES = 2
# Pauses in seconds before a trial, from that crash on.
TRIAL_PAUSES_S = (2.0, 30.0, 300.0, 3600.0, 86_400.0)


def trial_pause_s(crashes: int) -> float:
    """Returns how long a request is refused after its last crash or trial.

    Args:
        crashes (int): Crashes that are laid to it, `REFUSED_CRASHES` or more.
    """
    at = min(crashes - REFUSED_CRASHES, len(TRIAL_PAUSES_S) - 1)
    return TRIAL_PAUSES_S[max(0, at)]
