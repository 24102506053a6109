"""Log lines as text or JSON."""

import logging
import os
import sys
import time
from collections import deque

import msgspec
from chervilwall import events

from chervilwall_router.settings import LogSettings


class TextFormatter(logging.Formatter):
    """Format an event as one readable line."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line of a record."""
        when = time.strftime("%H:%M:%S", time.localtime(record.created))
        number = getattr(record, "event", 0)
        fields = getattr(record, "fields", {})
        details = " ".join(f"{k}={v}" for k, v in fields.items())
        text = f"{when} {record.levelname} E{number:03} {record.getMessage()}"
        if record.exc_info:
            details += "\n" + self.formatException(record.exc_info)
        return f"{text} {details}".rstrip()


class JsonFormatter(logging.Formatter):
    """Format an event as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line of a record."""
        line = {
            "time": record.created,
            "level": record.levelname.lower(),
            "event": getattr(record, "event", 0),
            "text": record.getMessage(),
        }
        fields = getattr(record, "fields", {})
        line.update({k: str(v) for k, v in fields.items()})
        if record.exc_info:
            line["trace"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


# Lines of a second that are written at most; a router logs about three lines
# for a request, so this is some ten times its usual load.
MAX_LINES_PER_S = 600
# Bytes that wait for a reader of standard output that is slow.
MAX_WAITING_BYTES = 256 * 1024


class PipeHandler(logging.Handler):
    """Write lines to a descriptor without ever waiting for its reader.

    Lines beyond the limits are dropped and counted; the count is logged when
    lines are written again.

    Args:
        descriptor (int): Where lines go; it is made non-blocking.
        max_lines_per_s (int): Lines that are written in a second.
    """

    def __init__(
        self, descriptor: int, *, max_lines_per_s: int = MAX_LINES_PER_S
    ) -> None:
        super().__init__()
        self._fd = descriptor
        self._limit = max_lines_per_s
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._second = 0
        self._lines = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def __repr__(self) -> str:
        return f"PipeHandler(dropped={self.dropped})"

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or counts it as dropped."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
            self._tell_dropped()
        if self._lines >= self._limit or not self._has_room():
            self.dropped += 1
            return
        self._lines += 1
        self._write(self.format(record))

    def _has_room(self) -> bool:
        self._flush()
        return self._waiting_bytes < MAX_WAITING_BYTES

    def _tell_dropped(self) -> None:
        if not self.dropped or not self._has_room():
            return
        event = events.LINES_DROPPED
        record = logging.LogRecord(
            __name__, event.level, "", 0, event.text, (), None
        )
        record.event = event.number
        record.fields = {"lines": self.dropped}
        self.dropped = 0
        self._write(self.format(record))

    def _write(self, line: str) -> None:
        data = line.encode() + b"\n"
        self._waiting.append(data)
        self._waiting_bytes += len(data)
        self._flush()

    def _flush(self) -> None:
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._fd, data)
            except OSError:
                # The reader is slow or gone; the lines wait within the limit.
                return
            self._waiting_bytes -= written
            if written < len(data):
                self._waiting[0] = data[written:]
                return
            self._waiting.popleft()


def set_up_stdout_logging(cfg: LogSettings) -> None:
    """Sends all log lines to standard output, never waiting for it."""
    _install(PipeHandler(sys.stdout.fileno()), cfg)


def set_up_logging(cfg: LogSettings) -> None:
    """Sends all log lines to standard error."""
    _install(logging.StreamHandler(sys.stderr), cfg)


def _install(handler: logging.Handler, cfg: LogSettings) -> None:
    is_json = cfg.format == "json"
    handler.setFormatter(JsonFormatter() if is_json else TextFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(cfg.level.upper())
    # Tornado logs one line for each caller's answer and fault.
    for name in ("tornado.access", "tornado.general"):
        logging.getLogger(name).setLevel(logging.ERROR)
