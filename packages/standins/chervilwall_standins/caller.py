"""A client of the routers that sends requests and checks the answers."""

import json
import random
import time
from typing import Any, NamedTuple

from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest

from chervilwall_standins.target import REQUEST_HEADER, TOKENS_HEADER


class Answer(NamedTuple):
    """The response to one request, as the caller received it.

    Args:
        status (int): HTTP status, or 0 if the connection failed or the request
            timed out.
        body (bytes): The response body.
        headers (dict): The response headers.
        total_s (float): Seconds from sending the request to the end of the
            response.
    """

    status: int
    body: bytes
    headers: dict[str, str]
    total_s: float

    @property
    def ok(self) -> bool:
        """Whether the status is 200; see is_complete_stream for the body."""
        return self.status == 200

    @property
    def problem(self) -> dict[str, Any]:
        """The problem document of a refusal, or an empty dict."""
        content_type = self.headers.get("Content-Type", "")
        return json.loads(self.body) if "problem+json" in content_type else {}


class Caller:
    """Send one team's requests through discovered routers.

    Args:
        seeds (list): Addresses of the routers that are asked for the list of
            all routers.
        key (str): The team's API key.
        client (AsyncHTTPClient | None): HTTP client to share between callers.
            Defaults to a new one.
    """

    def __init__(
        self,
        seeds: list[str],
        key: str,
        client: AsyncHTTPClient | None = None,
    ) -> None:
        self._seeds = seeds
        self._key = key
        self._client = client or AsyncHTTPClient(
            force_instance=True, max_clients=1000
        )
        self._routers: list[str] = []
        self._routers_expire_at = 0.0

    def __repr__(self) -> str:
        return f"Caller(routers={len(self._routers)})"

    async def routers(self) -> list[str]:
        """Returns the router addresses, cached for the TTL of the listing."""
        if time.monotonic() < self._routers_expire_at and self._routers:
            return self._routers
        for seed in [*self._routers, *self._seeds]:
            try:
                url = f"http://{seed}/v1/routers"
                response = await self._client.fetch(url, request_timeout=2)
            except (HTTPError, OSError):
                continue
            listing = json.loads(response.body)
            self._routers = [r["address"] for r in listing["routers"]]
            self._routers_expire_at = time.monotonic() + listing["ttl_s"]
            if self._routers:
                break
        return self._routers

    async def send(
        self,
        path: str,
        *,
        label: str = "",
        tokens: int = 5,
        stream: bool = False,
        text: str = "hello",
        router: str = "",
        headers: dict[str, str] | None = None,
        timeout_s: float = 60.0,
    ) -> Answer:
        """Sends a request and returns its answer.

        Args:
            path (str): Path of the request.
            label (str): Label under which the target counts the request, sent
                in REQUEST_HEADER.
            tokens (int): Number of tokens that the target generates.
            stream (bool): Whether to request a streamed response.
            text (str): Content of the message; may contain CRASH_MARKER,
                HANG_MARKER or another fault marker of `target`.
            router (str): Router address. Defaults to a random listed router.
            headers (dict | None): Additional request headers.
            timeout_s (float): Timeout of the whole request in seconds.
        """
        router_address = router or random.choice(await self.routers())
        body = {"messages": [{"content": text}], "stream": stream}
        req = HTTPRequest(
            f"http://{router_address}{path}",
            method="POST",
            body=json.dumps(body),
            headers={
                "Authorization": f"Bearer {self._key}",
                "Content-Type": "application/json",
                REQUEST_HEADER: label,
                TOKENS_HEADER: str(tokens),
                **(headers or {}),
            },
            request_timeout=timeout_s,
            connect_timeout=2.0,
        )
        started = time.monotonic()
        try:
            response = await self._client.fetch(req, raise_error=False)
        except (HTTPError, OSError):
            return Answer(0, b"", {}, time.monotonic() - started)
        status = 0 if response.code == 599 else response.code
        total_s = time.monotonic() - started
        return Answer(status, response.body, dict(response.headers), total_s)


def is_complete_stream(answer: Answer, label: str, tokens: int) -> bool:
    """Returns whether a streamed answer is complete and has the given label."""
    text = answer.body.decode()
    expected = [f"{label}:{index} " for index in range(tokens)]
    received = [
        json.loads(line[6:])["choices"][0]["delta"]["content"]
        for line in text.splitlines()
        if line.startswith("data: {") and "choices" in line
    ]
    return received == expected and text.rstrip().endswith("data: [DONE]")


def is_complete_answer(answer: Answer, label: str) -> bool:
    """Returns whether an unstreamed answer succeeded with the given label."""
    return answer.ok and json.loads(answer.body)["label"] == label
