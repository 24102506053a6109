"""A caller: asks which router to use, sends requests, checks answers."""

import json
import random
import time
from typing import Any, NamedTuple

from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest

from chervilwall_standins.target import REQUEST_HEADER, TOKENS_HEADER


class Answer(NamedTuple):
    """What a caller got.

    Args:
        status (int): HTTP status, 0 where the connection broke.
        body (bytes): The body.
        headers (dict): The headers.
        total_s (float): Seconds from the request to the whole answer.
    """

    status: int
    body: bytes
    headers: dict[str, str]
    total_s: float

    @property
    def ok(self) -> bool:
        """Whether the request was answered whole and well."""
        return self.status == 200

    @property
    def problem(self) -> dict[str, Any]:
        """The refusal, if it is one."""
        kind = self.headers.get("Content-Type", "")
        return json.loads(self.body) if "problem+json" in kind else {}


class Caller:
    """Send requests of one team through the routers that the system names.

    Args:
        seeds (list): Addresses of routers to ask first.
        key (str): The team's key.
        client (AsyncHTTPClient | None): A client to share.
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
        self._kept_until = 0.0

    def __repr__(self) -> str:
        return f"Caller(routers={len(self._routers)})"

    async def routers(self) -> list[str]:
        """Returns the addresses to use, kept for a while."""
        if time.monotonic() < self._kept_until and self._routers:
            return self._routers
        for seed in [*self._routers, *self._seeds]:
            try:
                url = f"http://{seed}/v1/routers"
                response = await self._client.fetch(url, request_timeout=2)
            except (HTTPError, OSError):
                continue
            found = json.loads(response.body)
            self._routers = [r["address"] for r in found["routers"]]
            self._kept_until = time.monotonic() + found["ttl_s"]
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
        """Sends one request and returns what came of it."""
        address = router or random.choice(await self.routers())
        body = {"messages": [{"content": text}], "stream": stream}
        req = HTTPRequest(
            f"http://{address}{path}",
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


def is_whole_stream(answer: Answer, label: str, tokens: int) -> bool:
    """Tells whether a streamed answer is the whole answer to its request."""
    text = answer.body.decode()
    expected = [f"{label}:{index} " for index in range(tokens)]
    got = [
        json.loads(line[6:])["choices"][0]["delta"]["content"]
        for line in text.splitlines()
        if line.startswith("data: {") and "choices" in line
    ]
    return got == expected and text.rstrip().endswith("data: [DONE]")


def is_whole_answer(answer: Answer, label: str) -> bool:
    """Tells whether an unstreamed answer is the one to its request."""
    return answer.ok and json.loads(answer.body)["label"] == label
