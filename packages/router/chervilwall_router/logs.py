"""Log formatters and handlers: lines of text or JSON."""

import logging
import os
import sys
import time
from collections import deque

import msgspec
from chervilwall import events

from chervilwall_router.settings import LogSettings

MAX_FIELD_CHARS = 2048


class TextFormatter(logging.Formatter):
    """Format a log record as a line of text.

    If the record has an exception, the lines of its traceback follow.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Returns a record as text."""
        clock = time.strftime("%H:%M:%S", time.localtime(record.created))
        number = getattr(record, "event", 0)
        fields = getattr(record, "fields", {})
        details = " ".join(f"{k}={_to_text(v)}" for k, v in fields.items())
        text = f"{clock} {record.levelname} E{number:03} {record.getMessage()}"
        if record.exc_info:
            details += "\n" + self.formatException(record.exc_info)
        return f"{text} {details}".rstrip()


class JsonFormatter(logging.Formatter):
    """Format a log record as one line with a JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns a record as text."""
        line = {
            "time": record.created,
            "level": record.levelname.lower(),
            "event": getattr(record, "event", 0),
            "text": record.getMessage(),
        }
        fields = getattr(record, "fields", {})
        line.update({k: _to_text(v) for k, v in fields.items()})
        if record.exc_info:
            line["trace"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def _to_text(value: object) -> str:
    """Returns the value of a field, as text that can be written to a log.

    Other programs may have made it: it is shortened, and lone surrogates are
    escaped.
    """
    text = str(value)
    if not text.isascii():
        text = text.encode(errors="backslashreplace").decode()
    if len(text) <= MAX_FIELD_CHARS:
        return text
    return f"{text[:MAX_FIELD_CHARS]}... ({len(text)} characters)"


# Lines beyond this rate are dropped. A router logs about three lines for each
# request, so the limit is about ten times its usual rate.
MAX_LINES_PER_S = 600
# Lines are buffered up to this size while the reader of the pipe is slow.
MAX_BUFFERED_BYTES = 256 * 1024


class PipeHandler(logging.Handler):
    """Write log lines to a file descriptor without blocking.

    Lines that exceed the rate limit or the buffer are dropped and counted. The
    number of dropped lines is logged before the first line of the next second
    that starts with free space in the buffer.

    Args:
        descriptor (int): File descriptor, which is made non-blocking.
        max_lines_per_s (int): Maximum number of lines per second. Defaults to
            MAX_LINES_PER_S.
    """

    def __init__(
        self, descriptor: int, *, max_lines_per_s: int = MAX_LINES_PER_S
    ) -> None:
        super().__init__()
        self._fd = descriptor
        self._max_lines_per_s = max_lines_per_s
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._second = 0
        self._lines_this_second = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def __repr__(self) -> str:
        return f"PipeHandler(dropped={self.dropped})"

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or drops it if a limit is exceeded."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines_this_second = second, 0
            self._log_dropped()
        if (
            self._lines_this_second >= self._max_lines_per_s
            or not self._has_free_buffer()
        ):
            self.dropped += 1
            return
        self._lines_this_second += 1
        self._write(self.format(record))

    def _has_free_buffer(self) -> bool:
        self._flush()
        return self._buffered_bytes < MAX_BUFFERED_BYTES

    def _log_dropped(self) -> None:
        if not self.dropped or not self._has_free_buffer():
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
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        self._flush()

    def _flush(self) -> None:
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._fd, data)
            except OSError:
                # The reader is slow or gone. Lines stay in the buffer, whose
                # size `emit` limits.
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()


def set_up_stdout_logging(cfg: LogSettings) -> None:
    """Sends all log lines to standard output without blocking."""
    _install_root_handler(PipeHandler(sys.stdout.fileno()), cfg)


def set_up_logging(cfg: LogSettings) -> None:
    """Sends all log lines to standard error."""
    _install_root_handler(logging.StreamHandler(sys.stderr), cfg)


def _install_root_handler(handler: logging.Handler, cfg: LogSettings) -> None:
    is_json = cfg.format == "json"
    handler.setFormatter(JsonFormatter() if is_json else TextFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(cfg.level.upper())
    # By default, Tornado logs each response and each malformed request.
    for name in ("tornado.access", "tornado.general"):
        logging.getLogger(name).setLevel(logging.ERROR)
