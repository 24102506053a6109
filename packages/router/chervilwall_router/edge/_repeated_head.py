"""Detection of a further response in a body."""

import re
from collections.abc import Collection

from chervilwall.protocol import WireFormat

from chervilwall_router.edge._head import decode_headers

MAX_HEAD_BYTES = 65_536
# Status lines that are examined in one body: each costs more than its bytes.
MAX_STATUS_LINES = 1024
# Longest reason phrase of a status line that is recognized.
MAX_REASON_BYTES = 64
# One byte before a status line is looked at as well.
_MAX_STATUS_LINE_BYTES = len(b"}HTTP/1.1 200 \r\n") + MAX_REASON_BYTES
_REASON = rb"[^\r\n]{0,%d}" % MAX_REASON_BYTES
_NAME = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
# Not bound to the beginning of a line: the bytes before belong to the body.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] (\d{3})(?: " + _REASON + rb")?\r?\n")
# A status line that was cut off. Text that names a version of HTTP or a status
# has a blank before it.
_CUT = (
    rb"HTTP/(?:1(?:\.(?:[01](?: (?:\d{0,2}|\d{3}(?: "
    + _REASON
    + rb")?\r?))?)?)?)?"
)
_CUT_STATUS_LINE = re.compile(rb"(?<! )" + _CUT + rb"\Z")
# One whose further bytes may follow the body.
_BEGUN_STATUS_LINE = re.compile(rb"(?:H|HT|HTT|HTTP|" + _CUT + rb")\Z")
_HEADER_LINE = re.compile(rb"(" + _NAME + rb"):([^\r\n]*)\r?\n")
_CUT_HEADER_LINE = re.compile(rb"(?:" + _NAME + rb"(?::[^\r\n]*)?)?\r?")


class RepeatedHeadDetector:
    """Find the head of a response among the bytes of a body.

    A body without length or chunks has no end but that of its connection. One
    with a length, or a chunk, that breaks off goes on with what its target
    sends next, and the framing of chunks breaks only behind that. So nothing
    else tells a further response from the body. A body may also quote a
    response. A head is taken for one that a target sent
    if it names a request of the connection, or if it names none and is signed
    or states that a request was not run. One that is cut off by the end of the
    body may have named anything, if its lines end as those of a head do.

    Args:
        request_ids (Collection): Ids of the requests that the connection has
            carried.
        wire (WireFormat): Decodes the heads of responses.
    """

    def __init__(self, request_ids: Collection[str], wire: WireFormat) -> None:
        self._ids = frozenset(i for i in request_ids if i)
        self._wire = wire
        # Bytes that are not yet known to be a status line or a header.
        self._rest = b""
        # Status and headers of the head that is being read; 0 for no head.
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        # Whether each line of that head ends with CR LF.
        self._has_line_ends = False
        self._status_lines = 0

    def __repr__(self) -> str:
        return f"RepeatedHeadDetector(ids={len(self._ids)})"

    def feed(self, chunk: bytes) -> bool:
        """Adds bytes of the body; returns whether a target's head is whole."""
        data, start = self._rest + chunk, 0
        while True:
            if not self._status:
                if self._status_lines == MAX_STATUS_LINES:
                    self._rest = b""
                    return False
                found = _STATUS_LINE.search(data, start)
                if found is None:
                    tail = len(data) - _MAX_STATUS_LINE_BYTES
                    self._rest = data[max(start, tail) :]
                    return False
                start = found.end()
                self._status_lines += 1
                self._status, self._head_bytes = int(found[1]), 0
                self._headers = []
                self._has_line_ends = found[0].endswith(b"\r\n")
            end = data.find(b"\n", start) + 1
            if end == 0:
                self._rest = data[start:]
                if self._head_bytes + len(self._rest) <= MAX_HEAD_BYTES:
                    return False
                self._status = 0
            elif self._add_line(data[start:end]):
                return True
            elif self._status:
                start = end

    def ends_inside_head(self) -> bool:
        """Returns whether the bytes end inside the head of a response."""
        return self._ends_inside(_CUT_STATUS_LINE)

    def may_end_inside_head(self) -> bool:
        """Returns whether bytes that follow may go on with a head.

        Unlike for ends_inside_head(), the first byte of a status line is
        enough: few bodies end so, and even fewer with bytes behind them.
        """
        return self._ends_inside(_BEGUN_STATUS_LINE)

    def _ends_inside(self, status_line: re.Pattern[bytes]) -> bool:
        if self._status:
            is_header = _CUT_HEADER_LINE.fullmatch(self._rest) is not None
            return self._has_line_ends and is_header
        return status_line.search(self._rest) is not None

    def _add_line(self, line: bytes) -> bool:
        """Adds a line to the head; returns whether a target's head is whole.

        Sets `_status` to 0 if the line, or the head, is not that of a response.
        """
        self._head_bytes += len(line)
        self._has_line_ends &= line.endswith(b"\r\n")
        header = _HEADER_LINE.fullmatch(line)
        if header is not None and self._head_bytes <= MAX_HEAD_BYTES:
            self._headers.append((header[1], header[2].strip()))
            return False
        is_of_target = line in (b"\n", b"\r\n") and self._is_of_target()
        self._status = 0
        return is_of_target

    def _is_of_target(self) -> bool:
        head = self._wire.decode_response_head(
            self._status, decode_headers(self._headers)
        )
        if head.request_id:
            return head.request_id in self._ids
        # A 421 counts as not executed by its status alone, which text may name.
        is_refusal = head.not_executed and bool(self._headers)
        return head.signed or is_refusal
