"""Pauses before a quarantined request may run once more, as a trial.

A trial shows whether a request that was in flight at several crashes still
crashes its target: an answer releases it, a further crash prolongs the pause.
"""

# Crashes at which a request is first quarantined, that is, refused until its
# trial.
CRASHES_TO_REFUSE = 2
# Pauses before a trial: the first after `CRASHES_TO_REFUSE` crashes, the next
# after one more, and so on; the last one applies to all further crashes. They
# start short, as the first crashes may have been coincidence.
TRIAL_PAUSES_S = (2.0, 30.0, 300.0, 3600.0, 86_400.0)


def trial_pause_s(crashes: int) -> float:
    """Returns the pause in seconds from a request's last crash to its trial.

    The same pause applies between two trials, for which `CrashLedger` sets a
    minimum (`SILENT_CRASH_DETECTION_S`).

    Args:
        crashes (int): Number of crashes attributed to it.
    """
    index = min(crashes - CRASHES_TO_REFUSE, len(TRIAL_PAUSES_S) - 1)
    return TRIAL_PAUSES_S[max(0, index)]
