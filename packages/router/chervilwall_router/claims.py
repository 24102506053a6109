"""Claims on idempotency keys, made on the platform before a request runs."""

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
RETRY_LIMIT_S = 600.0
RELEASE_WAIT_S = 0.5
SWEEP_SHARDS = 16**claim_lib.SHARD_HEX_DIGITS


class HeldClaim(NamedTuple):
    """A claim that this router holds.

    Args:
        key (str): Its platform key.
        claim (Claim): What was written.
        version (int): Its platform version, 0 where the reply was lost.
        claimed_at (float): Monotonic time before the write.
    """

    key: str
    claim: Claim
    version: int
    claimed_at: float


class ClaimTable:
    """Make, settle and release claims.

    Args:
        platform (Platform): Where claims are kept.
        holder (str): This router's incarnation.
    """

    def __init__(self, platform: Platform, holder: str) -> None:
        self._platform = platform
        self._holder = holder
        self._background: set[asyncio.Task[None]] = set()
        self._sweep_at = 0

    def __repr__(self) -> str:
        return f"ClaimTable({self._holder!r}, pending={len(self._background)})"

    async def take(self, classified: Classified) -> HeldClaim | ClaimView:
        """Claims the key of a request, or tells what stands in the way.

        Raises:
            PlatformError: Whether the claim stands is not known. It is
                released in the background, so the request was not run and may
                come again.
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
        held = HeldClaim(key, claim, 0, time.monotonic())
        try:
            return await self._create(held)
        except PlatformUnavailableError:
            self._start(self._release(held))
            raise

    async def release(self, held: HeldClaim) -> None:
        """Frees a claim whose request was not run.

        Waits only briefly; what is not done by then goes on in the background.
        """
        task = self._start(self._release(held))
        await asyncio.wait([task], timeout=RELEASE_WAIT_S)

    def settle(self, held: HeldClaim, answer: StoredResponse | None) -> None:
        """Records what came of a request, in the background.

        Args:
            held (HeldClaim): The claim.
            answer (StoredResponse | None): The answer, or None where it is not
                known whether the request ran.
        """
        state = claim_lib.STATE_DONE if answer else claim_lib.STATE_UNKNOWN
        settled = held.claim._replace(state=state, answer=answer)
        self._start(self._settle(held._replace(claim=settled)))

    async def drain(self, limit_s: float) -> bool:
        """Waits for background writes; returns whether all are done."""
        if not self._background:
            return True
        _, pending = await asyncio.wait(self._background, timeout=limit_s)
        return not pending

    async def sweep(self, wall_now: float) -> int:
        """Deletes the expired claims of one shard; returns how many."""
        shard = f"{self._sweep_at:0{claim_lib.SHARD_HEX_DIGITS}x}"
        self._sweep_at = (self._sweep_at + 1) % SWEEP_SHARDS
        deleted = 0
        prefix = f"{claim_lib.CLAIM_PREFIX}{shard}/"
        for found in await self._platform.list(prefix):
            claim = claim_lib.decode_claim(found.value)
            if claim_lib.is_expired(claim, wall_now):
                version = found.version
                await self._platform.delete(found.key, if_version=version)
                deleted += 1
        return deleted

    async def _create(self, held: HeldClaim) -> HeldClaim | ClaimView:
        value = claim_lib.encode_claim(held.claim)
        try:
            version = await self._platform.put(held.key, value, if_version=0)
        except (VersionConflictError, PlatformUnavailableError):
            return await self._read_back(held)
        return held._replace(version=version)

    async def _read_back(self, held: HeldClaim) -> HeldClaim | ClaimView:
        found = await self._platform.get(held.key)
        if found is None:
            raise PlatformUnavailableError(
                "claim neither stands nor was refused", step="claim key"
            )
        view = claim_lib.view_claim(
            claim_lib.decode_claim(found.value),
            nonce=held.claim.nonce,
            fingerprint=held.claim.fingerprint,
        )
        if view.verdict == claim_lib.VERDICT_OURS:
            return held._replace(version=found.version)
        return view

    async def _release(self, held: HeldClaim) -> None:
        await self._retry(lambda: self._release_once(held))

    async def _release_once(self, held: HeldClaim) -> None:
        found = await self._platform.get(held.key)
        if found is None:
            return
        claim = claim_lib.decode_claim(found.value)
        if claim.nonce == held.claim.nonce:
            await self._platform.delete(held.key, if_version=found.version)

    async def _settle(self, held: HeldClaim) -> None:
        value = claim_lib.encode_claim(held.claim)
        await self._retry(
            lambda: self._platform.put(
                held.key, value, if_version=held.version or None
            )
        )

    async def _retry(self, call: Callable[[], Awaitable[object]]) -> None:
        limit = time.monotonic() + RETRY_LIMIT_S
        while time.monotonic() < limit:
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

    def _start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task
