"""Numbered log events, documented in docs/EVENTS.md."""

import logging
from typing import NamedTuple


class Event(NamedTuple):
    """A type of log event.

    Args:
        number (int): Unique number, logged as E<number>.
        level (int): Severity, a level of the logging module.
        text (str): Message that is logged.
    """

    number: int
    level: int
    text: str


ROUTER_STARTED = Event(100, logging.INFO, "router started")
ROUTER_LEAVING = Event(101, logging.INFO, "router is leaving the fleet")
ROUTER_STOPPED = Event(102, logging.INFO, "router stopped")
SETTINGS_RELOADED = Event(103, logging.INFO, "settings reloaded")
SETTINGS_REFUSED = Event(104, logging.ERROR, "settings refused")
TASK_FAILED = Event(105, logging.ERROR, "background task failed")
LINES_DROPPED = Event(106, logging.WARNING, "log lines dropped")
SERVICE_WRITTEN = Event(
    107, logging.INFO, "service totals written to the store"
)
ACCEPT_FAILED = Event(
    108, logging.ERROR, "failed to accept a caller's connection"
)
MEMBER_CHANGED = Event(200, logging.INFO, "member state changed")
FRAME_REFUSED = Event(201, logging.WARNING, "frame from a peer refused")
PEER_SEND_FAILED = Event(202, logging.WARNING, "message to a peer dropped")
PEER_REPORTING = Event(203, logging.INFO, "router is reporting")
PEER_LOST = Event(204, logging.WARNING, "router stopped reporting")
SNAPSHOT_RECEIVED = Event(205, logging.INFO, "snapshot received from a peer")
SNAPSHOT_FAILED = Event(
    206, logging.WARNING, "snapshot request to a peer failed"
)
SCHEDULER_SILENT = Event(207, logging.WARNING, "scheduler is not responding")
CONFIG_APPLIED = Event(300, logging.INFO, "configuration applied")
CONFIG_REFUSED = Event(301, logging.ERROR, "configuration refused")
PLATFORM_UNAVAILABLE = Event(400, logging.WARNING, "platform is not responding")
PLATFORM_RECOVERED = Event(401, logging.INFO, "platform is responding again")
WATCH_RESTARTED = Event(
    402, logging.INFO, "store watch restarted from a full list"
)
STORE_ERA_ROSE = Event(
    403, logging.WARNING, "store came back from an older copy"
)
STORE_ERA_REFUSED = Event(404, logging.WARNING, "era of the store refused")
STORE_OBJECT_REFUSED = Event(
    405, logging.WARNING, "object of the store refused"
)
STORE_READ_AGAIN = Event(406, logging.INFO, "older copy of the store read")
WATCH_LOST = Event(407, logging.WARNING, "response to a store watch was lost")
ZONE_EVACUATED = Event(440, logging.WARNING, "zone evacuated")
ZONE_RETURNED = Event(441, logging.INFO, "zone returned to service")
EVACUATIONS_CUT = Event(
    442, logging.ERROR, "evacuations of some zones are ignored"
)
EVACUATIONS_UNKNOWN = Event(
    443, logging.ERROR, "router is ready without knowing the evacuated zones"
)
RETURNED_TARGETS_COLD = Event(
    444, logging.INFO, "targets of returned zones may be cold"
)
TARGET_COLD = Event(450, logging.INFO, "target is cold")
TARGET_WARM = Event(451, logging.INFO, "target is warm")
RELAYING_STARTED = Event(470, logging.INFO, "started relaying connections")
RELAYING_ENDED = Event(471, logging.INFO, "stopped relaying connections")
RELAY_PEER_FAILED = Event(
    472, logging.INFO, "peer does not answer a relayed connection"
)
RELAY_PREAMBLE_REFUSED = Event(
    473, logging.WARNING, "preamble of a relayed connection refused"
)
RELAY_LISTEN_FAILED = Event(
    474, logging.WARNING, "failed to listen for relayed connections"
)
CALLERS_PAUSED = Event(
    460, logging.INFO, "reading from callers paused to bound memory"
)
CALLERS_REFUSED = Event(
    461, logging.WARNING, "requests of callers refused to bound memory"
)
CALLERS_CLOSED = Event(
    462, logging.WARNING, "callers' connections closed to bound descriptors"
)
PAGE_CONNECTIONS_CLOSED = Event(
    463, logging.WARNING, "connections to a page closed to bound their number"
)
CELL_SCHEDULING_STARTED = Event(500, logging.INFO, "started scheduling a cell")
CELL_SCHEDULING_STOPPED = Event(501, logging.INFO, "stopped scheduling a cell")
TARGET_EJECTED = Event(502, logging.WARNING, "target ejected")
TARGET_ADDED = Event(503, logging.INFO, "target registered")
TARGET_CHANGED = Event(504, logging.INFO, "target registration changed")
TARGET_REMOVED = Event(505, logging.INFO, "target removed")
TARGET_REFUSED = Event(506, logging.WARNING, "target registration refused")
TARGET_LEAVING = Event(507, logging.INFO, "target announced its shutdown")
TARGET_PAUSED = Event(508, logging.WARNING, "target requested a pause")
TARGET_WITHHELD = Event(511, logging.INFO, "target registration withheld")
TARGET_LIMIT_CHANGED = Event(
    513, logging.INFO, "target changed its limit on requests"
)
TARGET_LIMIT_REFUSED = Event(514, logging.WARNING, "limit of a target refused")
TARGET_LOAD_REFUSED = Event(
    480, logging.WARNING, "load report of a target refused"
)
VERSIONS_AGREED = Event(
    512, logging.INFO, "software versions of a service agreed"
)
TARGET_CRASHED = Event(509, logging.WARNING, "target crashed")
CRASH_WITHDRAWN = Event(510, logging.INFO, "crash report withdrawn")
ATTEMPT_FAILED = Event(600, logging.WARNING, "attempt on a target failed")
REQUEST_REFUSED = Event(601, logging.INFO, "request refused")
REQUEST_UNKNOWN = Event(602, logging.WARNING, "request outcome unknown")
REQUEST_QUARANTINED = Event(603, logging.WARNING, "request quarantined")
CLAIM_WRITE_FAILED = Event(604, logging.WARNING, "failed to write a claim")
REQUEST_ENDED = Event(605, logging.INFO, "request ended")
# Logged after checking whether the target of a broken attempt has ended.
ATTEMPT_EXAMINED = Event(
    606, logging.INFO, "target checked after a broken attempt"
)
CRASH_REPORTED = Event(607, logging.INFO, "crash reported by a peer")
REQUEST_RELEASED = Event(608, logging.INFO, "request released from quarantine")
CALLER_CLOSED = Event(609, logging.INFO, "caller's connection closed")
RETRY_DECIDED = Event(610, logging.INFO, "retry allowed or withheld")
RESPONSE_GIVEN_UP = Event(
    611, logging.WARNING, "response given up to bound memory"
)
COUNTERS_WRITE_FAILED = Event(700, logging.WARNING, "failed to write counters")
CRASH_RECORD_WRITE_FAILED = Event(
    702, logging.WARNING, "failed to write crash records"
)
CRASH_RECORD_REFUSED = Event(703, logging.WARNING, "crash record refused")
STREAM_RECORDS_FAILED = Event(
    704, logging.WARNING, "failed to read or write the origins of streams"
)
STREAM_RECORD_REFUSED = Event(
    705, logging.WARNING, "stored record of streams refused"
)
LOST_ROUTER_OUTCOME_UNKNOWN = Event(
    701, logging.WARNING, "outcome of a lost router's request unknown"
)
LEASE_ACQUIRED = Event(800, logging.INFO, "lease for sending orders acquired")
LEASE_LOST = Event(801, logging.WARNING, "lease for sending orders lost")
ORDER_SENT = Event(802, logging.INFO, "order sent to a target")
ORDER_FAILED = Event(
    803, logging.WARNING, "failed to send an order to a target"
)


def catalogue() -> list[Event]:
    """Returns all events, sorted by number."""
    found_events = [e for e in globals().values() if isinstance(e, Event)]
    return sorted(found_events)


def log_event(logger: logging.Logger, event: Event, **fields: object) -> None:
    """Logs an event with its fields, if its level is enabled.

    Args:
        logger (logging.Logger): Logger to use.
        event (Event): Event to log.
        **fields (object): Values logged with the event, by name, such as the
            step and peer of an error.
    """
    if not logger.isEnabledFor(event.level):
        return
    extra = {"event": event.number, "fields": fields}
    logger.log(event.level, event.text, extra=extra)


def log_failure(logger: logging.Logger, event: Event, **fields: object) -> None:
    """Logs an event with the traceback of the exception being handled.

    It is logged at level ERROR, whatever the level of the event.

    Args:
        logger (logging.Logger): Logger to use.
        event (Event): Event to log.
        **fields (object): Values logged with the event, by name.
    """
    extra = {"event": event.number, "fields": fields}
    logger.exception(event.text, extra=extra)
