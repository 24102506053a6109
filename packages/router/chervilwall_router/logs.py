"""Log lines as text or JSON."""

import logging
import sys
import time

import msgspec

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


def set_up_logging(cfg: LogSettings) -> None:
    """Sends all log lines to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    is_json = cfg.format == "json"
    handler.setFormatter(JsonFormatter() if is_json else TextFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(cfg.level.upper())
    # Tornado logs one line for each caller's answer and fault.
    for name in ("tornado.access", "tornado.general"):
        logging.getLogger(name).setLevel(logging.ERROR)
