"""Client for the operators' interface of routers."""

from typing import Any

import msgspec
from chervilwall.errors import ChervilwallError
from tornado.httpclient import AsyncHTTPClient, HTTPError


class RouterError(ChervilwallError):
    """A call to a router failed, or its answer was not valid JSON."""


class RouterClient:
    """Call the operators' interface of routers, the paths under /v1/admin/.

    Args:
        key (str): The operator's key.
        timeout_s (float): Timeout of a call, in seconds. Defaults to 5.
    """

    def __init__(self, key: str, *, timeout_s: float = 5.0) -> None:
        self._key = key
        self._timeout_s = timeout_s
        self._client = AsyncHTTPClient(force_instance=True)

    def __repr__(self) -> str:
        return "RouterClient()"

    async def get(self, address: str, path: str) -> Any:
        """Sends a GET request to a router and returns the decoded JSON.

        Args:
            address (str): "IP:port" or URL of the router.
            path (str): Path and query.

        Raises:
            RouterError: The call failed or the answer is not valid JSON.
        """
        return await self._call(address, path, "GET", None)

    async def get_text(self, address: str, path: str) -> str:
        """Sends a GET request to a router and returns the text of the answer.

        Args:
            address (str): "IP:port" or URL of the router.
            path (str): Path and query.

        Raises:
            RouterError: The call failed or the answer is not UTF-8.
        """
        return (await self._fetch(address, path, "GET", None)).decode()

    async def post(self, address: str, path: str) -> Any:
        """Sends an empty POST request to a router and returns the decoded JSON.

        Args:
            address (str): "IP:port" or URL of the router.
            path (str): Path and query.

        Raises:
            RouterError: The call failed or the answer is not valid JSON.
        """
        return await self._call(address, path, "POST", b"")

    async def _call(
        self, address: str, path: str, method: str, body: bytes | None
    ) -> Any:
        answer = await self._fetch(address, path, method, body)
        try:
            return msgspec.json.decode(answer)
        except (msgspec.MsgspecError, RecursionError) as exc:
            raise RouterError(str(exc), step=path, peer=address) from exc

    async def _fetch(
        self, address: str, path: str, method: str, body: bytes | None
    ) -> bytes:
        url = address if "://" in address else f"http://{address}"
        try:
            response = await self._client.fetch(
                url + path,
                method=method,
                body=body,
                headers={"Authorization": f"Bearer {self._key}"},
                request_timeout=self._timeout_s,
            )
            return response.body
        except (HTTPError, OSError) as exc:
            raise RouterError(str(exc), step=path, peer=address) from exc
