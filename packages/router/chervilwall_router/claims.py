"""Claims on idempotency keys, stored on the platform before a request runs.

A claim prevents a second run of a request that is sent again, whichever router
receives it.
"""

import asyncio
import logging
import secrets
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, NamedTuple

from chervilwall import claim as claim_lib
from chervilwall import events
from chervilwall.claim import Claim, ClaimView, StoredResponse
from chervilwall.classify import Classified
from chervilwall.errors import (
    ChervilwallError,
    PlatformUnavailableError,
    VersionConflictError,
)
from chervilwall.protocol import Platform

LOG = logging.getLogger(__name__)
RETRY_INTERVAL_S = 0.5
# A failed write or release of a claim is retried for this long. After that, the
# claim is left to expire.
RETRY_TIMEOUT_S = 600.0
RELEASE_TIMEOUT_S = 0.5
SHARD_COUNT = 16**claim_lib.SHARD_HEX_DIGITS


class OwnClaim(NamedTuple):
    """A claim that this router holds.

    Args:
        key (str): Key of its object on the platform.
        claim (Claim): Value that was written.
        version (int): Platform version of the object, 0 if it is not known.
        claimed_at (float): Monotonic time before the write, in seconds.
    """

    key: str
    claim: Claim
    version: int
    claimed_at: float


class ClaimTable:
    """Acquire and release claims, and store the outcomes of requests in them.

    Args:
        platform (Platform): Object service that stores the claims.
        holder (str): Incarnation of this router, which owns the claims that it
            acquires.
    """

    def __init__(self, platform: Platform, holder: str) -> None:
        self._platform = platform
        self._holder = holder
        self._tasks: set[asyncio.Task[None]] = set()
        self._next_shard = 0

    def __repr__(self) -> str:
        return f"ClaimTable({self._holder!r}, pending={len(self._tasks)})"

    async def acquire(self, classified: Classified) -> OwnClaim | ClaimView:
        """Claims the idempotency key of a request.

        Args:
            classified (Classified): The request.

        Returns:
            The new claim, or, if the key is already claimed, a view of the
            existing claim, which says how to answer the request.

        Raises:
            PlatformError: If the claim was not stored, or if it is unknown
                whether it was. In the second case, the error is a
                PlatformUnavailableError and the claim is released in the
                background. The request must not run; the caller may send it
                again.
        """
        key = claim_lib.claim_key(
            classified.team.name, classified.cls.service, classified.key
        )
        claim = Claim(
            holder=self._holder,
            nonce=secrets.token_hex(8),
            fingerprint=classified.fingerprint,
            state=claim_lib.STATE_CLAIMED,
            expires_at=time.time() + claim_lib.CLAIM_TTL_S,
        )
        own = OwnClaim(key, claim, 0, time.monotonic())
        try:
            return await self._create(own)
        except PlatformUnavailableError:
            self._run_in_background(self._release(own))
            raise

    async def release(self, own: OwnClaim) -> None:
        """Releases the claim of a request that was not run.

        Waits for up to `RELEASE_TIMEOUT_S`. If the platform has not responded
        by then, the release continues in the background.
        """
        task = self._run_in_background(self._release(own))
        await asyncio.wait([task], timeout=RELEASE_TIMEOUT_S)

    def record_result(
        self, own: OwnClaim, answer: StoredResponse | None
    ) -> None:
        """Stores the outcome of a request in its claim, in the background.

        Args:
            own (OwnClaim): The claim.
            answer (StoredResponse | None): The answer, or None if it is not
                known whether the request ran.
        """
        state = claim_lib.STATE_DONE if answer else claim_lib.STATE_UNKNOWN
        updated = own.claim._replace(state=state, answer=answer)
        self._run_in_background(self._write_result(own._replace(claim=updated)))

    async def drain(self, limit_s: float) -> bool:
        """Waits for background writes and returns whether all are done.

        Args:
            limit_s (float): Maximum wait, in seconds.
        """
        if not self._tasks:
            return True
        _, pending = await asyncio.wait(self._tasks, timeout=limit_s)
        return not pending

    async def sweep(self, wall_now: float) -> int:
        """Deletes the expired claims of one shard and returns their number.

        Each call handles the next shard, so that `SHARD_COUNT` calls cover all
        claims.

        Args:
            wall_now (float): Wall-clock time, in seconds since the epoch.
        """
        shard = f"{self._next_shard:0{claim_lib.SHARD_HEX_DIGITS}x}"
        self._next_shard = (self._next_shard + 1) % SHARD_COUNT
        deleted = 0
        prefix = f"{claim_lib.CLAIM_PREFIX}{shard}/"
        for stored in await self._platform.list(prefix):
            claim = claim_lib.decode_claim(stored.value)
            if claim_lib.is_expired(claim, wall_now):
                version = stored.version
                await self._platform.delete(stored.key, if_version=version)
                deleted += 1
        return deleted

    async def _create(self, own: OwnClaim) -> OwnClaim | ClaimView:
        value = claim_lib.encode_claim(own.claim)
        try:
            version = await self._platform.put(own.key, value, if_version=0)
        except (VersionConflictError, PlatformUnavailableError):
            return await self._read_back(own)
        return own._replace(version=version)

    async def _read_back(self, own: OwnClaim) -> OwnClaim | ClaimView:
        stored = await self._platform.get(own.key)
        if stored is None:
            raise PlatformUnavailableError(
                "claim was not found after a failed write", step="claim key"
            )
        view = claim_lib.view_claim(
            claim_lib.decode_claim(stored.value),
            nonce=own.claim.nonce,
            fingerprint=own.claim.fingerprint,
        )
        if view.verdict == claim_lib.VERDICT_OURS:
            return own._replace(version=stored.version)
        return view

    async def _release(self, own: OwnClaim) -> None:
        await self._retry(lambda: self._release_once(own))

    async def _release_once(self, own: OwnClaim) -> None:
        stored = await self._platform.get(own.key)
        if stored is None:
            return
        claim = claim_lib.decode_claim(stored.value)
        if claim.nonce == own.claim.nonce:
            await self._platform.delete(own.key, if_version=stored.version)

    async def _write_result(self, own: OwnClaim) -> None:
        value = claim_lib.encode_claim(own.claim)
        await self._retry(
            lambda: self._platform.put(
                own.key, value, if_version=own.version or None
            )
        )

    async def _retry(self, call: Callable[[], Awaitable[object]]) -> None:
        deadline = time.monotonic() + RETRY_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                await call()
                return
            except VersionConflictError:
                return
            except ChervilwallError as exc:
                events.log_event(
                    LOG,
                    events.CLAIM_WRITE_FAILED,
                    step=exc.step,
                    peer=exc.peer,
                    reason=exc.reason,
                )
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _run_in_background(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
