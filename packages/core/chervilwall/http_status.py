"""Statuses of responses (RFC 9110, section 15)."""

MIN_STATUS = 100
# Those below are of informational responses, which have no body.
MIN_FINAL_STATUS = 200
MAX_STATUS = 599


def find_status_fault(status: int, raw: list[tuple[bytes, bytes]]) -> str:
    """Returns why a head is none of a response, "" if nothing shows that.

    Args:
        status (int): Status of the response.
        raw (list): Names and values of its headers.
    """
    if not is_known_status(status):
        return f"HTTP has no status {status:03}"
    if status >= MIN_FINAL_STATUS:
        return ""
    for name, value in raw:
        header = name.lower()
        has_length = header == b"content-length" and value.strip(b"0 \t")
        if has_length or header == b"transfer-encoding":
            return f"informational response {status} with a body"
    return ""


def is_known_status(status: int) -> bool:
    """Returns whether HTTP has a status."""
    return MIN_STATUS <= status <= MAX_STATUS
