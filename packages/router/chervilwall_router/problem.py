"""Refusals as application/problem+json (RFC 9457)."""

import math
from typing import NamedTuple

import msgspec

CONTENT_TYPE = "application/problem+json"
EXECUTED_NO = "no"
EXECUTED_UNKNOWN = "unknown"
TYPE_PREFIX = "urn:chervilwall:problem:"


class Problem(NamedTuple):
    """A refusal that says whether the request ran.

    Args:
        status (int): HTTP status.
        reason (str): Short code.
        detail (str): One sentence for the caller.
        executed (str): "no" or "unknown".
        retry_after_s (float): Seconds after which to come back, 0 for none.
    """

    status: int
    reason: str
    detail: str
    executed: str = EXECUTED_NO
    retry_after_s: float = 0.0

    def headers(self) -> dict[str, str]:
        """Returns the headers of the answer."""
        headers = {"Content-Type": CONTENT_TYPE}
        if self.retry_after_s > 0:
            headers["Retry-After"] = str(math.ceil(self.retry_after_s))
        return headers

    def body(self) -> bytes:
        """Returns the body of the answer."""
        return msgspec.json.encode(
            {
                "type": TYPE_PREFIX + self.reason,
                "title": self.reason.replace("_", " "),
                "status": self.status,
                "detail": self.detail,
                "executed": self.executed,
                "retry_after_s": math.ceil(self.retry_after_s),
            }
        )
