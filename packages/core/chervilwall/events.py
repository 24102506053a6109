"""Numbered log events. docs/EVENTS.md is their catalogue."""

import logging
from typing import NamedTuple


class Event(NamedTuple):
    """A kind of log line.

    Args:
        number (int): Unique number.
        level (int): Level of the logging library.
        text (str): What happened.
    """

    number: int
    level: int
    text: str


ROUTER_STARTED = Event(100, logging.INFO, "router started")
ROUTER_LEAVING = Event(101, logging.INFO, "router leaves the fleet")
ROUTER_STOPPED = Event(102, logging.INFO, "router stopped")
SETTINGS_RELOADED = Event(103, logging.INFO, "settings read again")
SETTINGS_REFUSED = Event(104, logging.ERROR, "settings refused")
TASK_FAILED = Event(105, logging.ERROR, "background task failed")
LINES_DROPPED = Event(106, logging.WARNING, "log lines dropped")
SERVICE_WRITTEN = Event(107, logging.INFO, "service written to the store")
ACCEPT_FAILED = Event(108, logging.ERROR, "connection of a caller not taken")
MEMBER_CHANGED = Event(200, logging.INFO, "member changed state")
FRAME_REFUSED = Event(201, logging.WARNING, "frame from a peer refused")
PEER_SEND_FAILED = Event(202, logging.WARNING, "message to a peer dropped")
PEER_SEEN = Event(203, logging.INFO, "router heard")
PEER_LOST = Event(204, logging.WARNING, "router fell silent")
SNAPSHOT_TAKEN = Event(205, logging.INFO, "state taken from a peer")
SNAPSHOT_FAILED = Event(206, logging.WARNING, "no state from a peer")
SCHEDULER_SILENT = Event(207, logging.WARNING, "scheduler does not answer")
CONFIG_IN_FORCE = Event(300, logging.INFO, "configuration in force")
CONFIG_REFUSED = Event(301, logging.ERROR, "configuration refused")
PLATFORM_LOST = Event(400, logging.WARNING, "platform does not answer")
PLATFORM_BACK = Event(401, logging.INFO, "platform answers again")
WATCH_RESTARTED = Event(402, logging.INFO, "watch starts from a list")
CELL_TAKEN = Event(500, logging.INFO, "scheduling of a cell begins")
CELL_LEFT = Event(501, logging.INFO, "scheduling of a cell ends")
TARGET_EJECTED = Event(502, logging.WARNING, "target takes no work")
TARGET_ADDED = Event(503, logging.INFO, "target registered")
TARGET_CHANGED = Event(504, logging.INFO, "target changed its registration")
TARGET_REMOVED = Event(505, logging.INFO, "target is gone")
TARGET_REFUSED = Event(506, logging.WARNING, "registration not usable")
TARGET_LEAVING = Event(507, logging.INFO, "target says that it leaves")
TARGET_PAUSED = Event(508, logging.WARNING, "target asks for a pause")
TARGET_CRASHED = Event(509, logging.WARNING, "target crashed")
CRASH_WITHDRAWN = Event(510, logging.INFO, "target did not crash")
ATTEMPT_FAILED = Event(600, logging.WARNING, "attempt on a target failed")
REQUEST_REFUSED = Event(601, logging.INFO, "request refused")
REQUEST_UNKNOWN = Event(602, logging.WARNING, "outcome of a request unknown")
REQUEST_QUARANTINED = Event(603, logging.WARNING, "request quarantined")
CLAIM_WRITE_FAILED = Event(604, logging.WARNING, "claim not written")
REQUEST_ENDED = Event(605, logging.INFO, "request ended")
ATTEMPT_EXAMINED = Event(606, logging.INFO, "broken attempt examined")
CRASH_HEARD = Event(607, logging.INFO, "crash heard of from a peer")
REQUEST_RELEASED = Event(608, logging.INFO, "request let go")
COUNTERS_WRITE_FAILED = Event(700, logging.WARNING, "counters not written")
CRASHES_WRITE_FAILED = Event(702, logging.WARNING, "crashes not written")
CRASHES_REFUSED = Event(703, logging.WARNING, "record of crashes not usable")
SERVICE_UNCERTAIN = Event(701, logging.WARNING, "service of a lost router")
LEASE_TAKEN = Event(800, logging.INFO, "lease on orders taken")
LEASE_LOST = Event(801, logging.WARNING, "lease on orders lost")
ORDER_SENT = Event(802, logging.INFO, "order sent to a target")
ORDER_FAILED = Event(803, logging.WARNING, "order to a target failed")


def catalogue() -> list[Event]:
    """Returns all events in the order of their numbers."""
    found = [e for e in globals().values() if isinstance(e, Event)]
    return sorted(found)


def log_event(logger: logging.Logger, event: Event, **fields: object) -> None:
    """Writes one event with its fields.

    Args:
        logger (logging.Logger): Where it goes.
        event (Event): What happened.
        **fields (object): Details, such as step and peer.
    """
    if not logger.isEnabledFor(event.level):
        return
    extra = {"event": event.number, "fields": fields}
    logger.log(event.level, event.text, extra=extra)


def log_failure(logger: logging.Logger, event: Event) -> None:
    """Writes one event with the trace of the exception that is handled.

    Args:
        logger (logging.Logger): Where it goes.
        event (Event): What happened.
    """
    logger.exception(event.text, extra={"event": event.number})
