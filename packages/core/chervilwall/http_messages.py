"""Parsed requests of callers and response heads of targets, at edge routers."""

from typing import NamedTuple

from chervilwall.prefix import PromptPart
from chervilwall.reported_load import StatedLoad

Headers = tuple[tuple[str, str], ...]

EVENT_STREAM_TYPE = "text/event-stream"


def pack_headers(headers: Headers) -> bytes:
    """Returns headers in a form that takes little memory.

    Args:
        headers (Headers): Names without ":", and values without line ends.
    """
    text = "\n".join([f"{name}:{value}" for name, value in headers])
    return text.encode("latin1")


def unpack_headers(packed: bytes) -> Headers:
    """Returns the headers that `pack_headers` packed."""
    if not packed:
        return ()
    lines = packed.decode("latin1").split("\n")
    parts = [line.partition(":") for line in lines]
    return tuple((name, value) for name, _, value in parts)


class InboundRequest(NamedTuple):
    """A complete request of a caller.

    Args:
        id (str): Id that the caller assigned to this attempt. An attempt of a
            caller is one send of its request to a router.
        method (str): HTTP method.
        hostname (str): Requested host name in lower case.
        url (str): Path and query as sent.
        headers (tuple): Headers to forward.
        body (bytes): Body.
        received_at (float): Monotonic time at which the head was read.
        key (str): Key of the team, "" if there is none.
        remaining_s (float | None): Seconds for which the caller still waits,
            None if not specified.
        model (str): Requested model, "" for a request that names none.
        prompt_tokens (int): Length of the prompt in tokens, 0 if not
            specified.
        output_tokens (int): Maximum number of tokens to generate, 0 if not
            specified.
        length_hint (int): The caller's estimate of the number of tokens to
            generate, 0 if not specified. It is accurate in the median of many
            requests, but often far off for a single one.
        prompt_parts (tuple): Shared parts of the prompt, in order.
        last_event_id (int): Id of the event after which a stream resumes, 0 to
            start from the beginning.
        resumes (str): Id of the attempt that brought the first event of the
            stream that is resumed, "" if not specified.
        packed_headers (bytes): Further headers to forward, packed, as those of
            a large head take many times their size.
    """

    id: str
    method: str
    hostname: str
    url: str
    headers: Headers
    body: bytes
    received_at: float
    key: str = ""
    remaining_s: float | None = None
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    length_hint: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    last_event_id: int = 0
    resumes: str = ""
    packed_headers: bytes = b""

    @property
    def forwarded_headers(self) -> Headers:
        """All headers to forward."""
        if not self.packed_headers:
            return self.headers
        return self.headers + unpack_headers(self.packed_headers)

    @property
    def path(self) -> str:
        """The path of the URL, without the query."""
        return self.url.partition("?")[0]


class RateLimit(NamedTuple):
    """What a response says of the requests that its target takes.

    Args:
        per_s (float | None): Requests per second from all routers together,
            None if the target names no limit.
        malformed (str): A statement that is no number, for the log, "" if there
            is none. It neither names a limit nor ends one.
    """

    per_s: float | None = None
    malformed: str = ""


class ResponseHead(NamedTuple):
    """Status and headers of a target's response.

    Args:
        status (int): HTTP status.
        headers (tuple): Headers to forward.
        request_id (str): Id of the attempt that it answers, "" if not
            specified.
        signed (bool): Whether it carries a signature of the target. Only its
            presence is checked.
        not_executed (bool): Whether it states that the target did not run the
            request.
        has_content_encoding (bool): Whether the body has a content encoding,
            so that its bytes are not those that the target generated.
        idle_limit_s (float | None): Seconds for which the target keeps an idle
            connection open, None if not specified.
        closes_connection (bool): Whether the target closes the connection.
        is_delimited (bool): Whether the body is chunked or has a length,
            so that its end differs from a broken connection.
        is_chunked (bool): Whether the body is chunked.
        target_leaving (bool): Whether the target announces that it will stop.
        pause_s (float): Seconds for which a target that rejected the request
            wants no further requests from this router, 0 for no pause.
        rate_limit (RateLimit): Limit that the target names on requests from all
            routers.
        cold_for_s (float | None): Seconds for which the target stays
            cold, 0 if it is warm, None if not specified.
        load (StatedLoad | None): Load that the target states, None if it states
            none or one that cannot be read.
        malformed_load (str): A statement that cannot be read, for the log, ""
            if there is none.
        contradiction (str): Why it cannot be the head of one response, "" if
            nothing shows that. It may be those of two, of which the first broke
            off, so that none of its statements can be relied on.
    """

    status: int
    headers: Headers = ()
    request_id: str = ""
    signed: bool = False
    not_executed: bool = False
    has_content_encoding: bool = False
    idle_limit_s: float | None = None
    closes_connection: bool = False
    is_delimited: bool = True
    is_chunked: bool = False
    target_leaving: bool = False
    pause_s: float = 0.0
    rate_limit: RateLimit = RateLimit()
    cold_for_s: float | None = None
    load: StatedLoad | None = None
    malformed_load: str = ""
    contradiction: str = ""

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    @property
    def may_be_event_stream(self) -> bool:
        """Whether the body is an event stream or its type is not stated."""
        return all(
            value.lower().startswith(EVENT_STREAM_TYPE)
            for name, value in self.headers
            if name.lower() == "content-type"
        )

    @property
    def may_be_relayed(self) -> bool:
        """Whether the response is signed and its body is not encoded.

        A successful response may be forwarded only then.
        """
        return self.signed and not self.has_content_encoding
