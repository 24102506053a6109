"""Problem details for refused or failed requests (RFC 9457)."""

import math
from typing import NamedTuple

import msgspec

CONTENT_TYPE = "application/problem+json"
EXECUTED_NO = "no"
EXECUTED_UNKNOWN = "unknown"
TYPE_PREFIX = "urn:chervilwall:problem:"


class Problem(NamedTuple):
    """Problem details that state whether the request may have run.

    Args:
        status (int): HTTP status.
        reason (str): Machine-readable code.
        detail (str): Explanation for the caller, one sentence.
        executed (str): Whether a target may have run the request: "no" if
            certainly not, otherwise "unknown".
        retry_after_s (float): Seconds after which the caller may retry, 0 to
            send no Retry-After header.
    """

    status: int
    reason: str
    detail: str
    executed: str = EXECUTED_NO
    retry_after_s: float = 0.0

    def headers(self) -> dict[str, str]:
        """Returns the headers of the response."""
        headers = {"Content-Type": CONTENT_TYPE}
        if self.retry_after_s > 0:
            # HTTP allows only whole seconds here.
            headers["Retry-After"] = str(math.ceil(self.retry_after_s))
        return headers

    def body(self) -> bytes:
        """Returns the body of the response as JSON."""
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
