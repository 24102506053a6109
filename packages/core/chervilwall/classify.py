"""Which team, service and class a caller's request belongs to."""

import hashlib
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from chervilwall.config import Config, RequestClass, Team, hash_key

SERVICE_HEADER = "Chervilwall-Service"
CLASS_HEADER = "Chervilwall-Class"
KEY_HEADER = "Idempotency-Key"
MAX_KEY_LENGTH = 255
FINGERPRINT_BYTES = 8
PREFIX_CHARS = 256


class CallerRequest(NamedTuple):
    """A request as a caller sent it.

    Args:
        method (str): HTTP method.
        path (str): Path with its query.
        headers (Mapping): Headers, by case-insensitive name.
        body (bytes): The whole body.
        received_at (float): Monotonic time at which it was whole.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    received_at: float


class Classified(NamedTuple):
    """A request with all that decisions need to know of it.

    Args:
        team (Team): Team that pays.
        cls (RequestClass): Its class, which names the service.
        fingerprint (bytes): Digest of the request, equal for a resend.
        prefix (int): Hash of the prompt's head, 0 where there is none.
        key (str): Idempotency key, or "".
    """

    team: Team
    cls: RequestClass
    fingerprint: bytes
    prefix: int
    key: str


class ClassifyFault(NamedTuple):
    """Why a request cannot be classified.

    Args:
        status (int): HTTP status to answer with.
        reason (str): Short code.
        detail (str): One sentence for the caller.
    """

    status: int
    reason: str
    detail: str


class _ChatMessage(msgspec.Struct):
    content: object = ""


class _ModelBody(msgspec.Struct):
    model: str = ""
    prompt: object = ""
    messages: list[_ChatMessage] = []


_BODY = msgspec.json.Decoder(_ModelBody)


class Classifier:
    """Find team, service and class of requests under one configuration.

    Args:
        config (Config): The configuration in force.
    """

    def __init__(self, config: Config) -> None:
        self._config = config
        self._teams = {h: t for t in config.teams for h in t.key_hashes}

    def __repr__(self) -> str:
        return f"Classifier(teams={len(self._config.teams)})"

    def authenticate(self, authorization: str) -> Team | ClassifyFault:
        """Returns the team whose key a caller presents."""
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != "bearer" or not key.strip():
            detail = "Send the team's key as Authorization: Bearer."
            return ClassifyFault(401, "no_key", detail)
        team = self._teams.get(hash_key(key.strip()))
        if team is None:
            return ClassifyFault(401, "unknown_key", "No team has this key.")
        return team

    def classify(self, req: CallerRequest) -> Classified | ClassifyFault:
        """Returns what a request is, or why that cannot be told."""
        team = self.authenticate(req.headers.get("Authorization", ""))
        if isinstance(team, ClassifyFault):
            return team
        body = _read_body(req.body)
        cls = self._find_class(req, body.model)
        if isinstance(cls, ClassifyFault):
            return cls
        key = req.headers.get(KEY_HEADER, "")
        fault = _check_key(key, cls)
        if fault is not None:
            return fault
        digest = _fingerprint(team.name, cls, req)
        return Classified(team, cls, digest, _prefix(body), key)

    def _find_class(
        self, req: CallerRequest, model: str
    ) -> RequestClass | ClassifyFault:
        path = req.path.partition("?")[0]
        found = [c for c in self._config.classes if path.startswith(c.path)]
        service = req.headers.get(SERVICE_HEADER, "")
        if service:
            found = [c for c in found if c.service == service]
        elif len({c.service for c in found}) > 1:
            found = [c for c in found if c.service == model] or _longest(found)
        name = req.headers.get(CLASS_HEADER, "")
        if name:
            found = [c for c in found if c.name == name]
        if not found:
            detail = "No service has a class for this path, service and model."
            return ClassifyFault(404, "unknown_service", detail)
        found = _longest(found)
        if len({c.service for c in found}) > 1:
            detail = f"Name the service in {SERVICE_HEADER} or as the model."
            return ClassifyFault(400, "ambiguous_service", detail)
        return found[0]


def _longest(classes: list[RequestClass]) -> list[RequestClass]:
    longest = max((len(c.path) for c in classes), default=0)
    return [c for c in classes if len(c.path) == longest]


def _read_body(body: bytes) -> _ModelBody:
    try:
        return _BODY.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return _ModelBody()


def _check_key(key: str, cls: RequestClass) -> ClassifyFault | None:
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        detail = f"{KEY_HEADER} takes up to {MAX_KEY_LENGTH} characters."
        return ClassifyFault(400, "bad_idempotency_key", detail)
    if not cls.idempotent and not key:
        detail = f"Class {cls.name} may run at most once: send {KEY_HEADER}."
        return ClassifyFault(400, "no_idempotency_key", detail)
    return None


def _fingerprint(team: str, cls: RequestClass, req: CallerRequest) -> bytes:
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (team, cls.service, req.method, req.path):
        digest.update(part.encode() + b"\0")
    digest.update(req.body)
    return digest.digest()


def _prefix(body: _ModelBody) -> int:
    head = str(body.prompt)[:PREFIX_CHARS]
    for msg in body.messages:
        head += str(msg.content)[:PREFIX_CHARS]
        if len(head) >= PREFIX_CHARS:
            break
    if not head:
        return 0
    blob = hashlib.blake2b(head[:PREFIX_CHARS].encode(), digest_size=7)
    return int.from_bytes(blob.digest())
