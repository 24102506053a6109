"""Classification of callers' requests by team, service and request class.

Used by the routers that split services into cells. Edge routers use `routing`.
"""

import hashlib
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from chervilwall.config import Config, RequestClass, Team, hash_key

SERVICE_HEADER = "Chervilwall-Service"
CLASS_HEADER = "Chervilwall-Class"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
MAX_IDEMPOTENCY_KEY_LENGTH = 255
FINGERPRINT_BYTES = 8
MAX_PREFIX_CHARS = 256


class CallerRequest(NamedTuple):
    """An HTTP request as received from a caller.

    Edge routers use `http_messages.InboundRequest` instead, whose `received_at`
    is the time at which the head was read.

    Args:
        method (str): HTTP method.
        path (str): Path, including the query.
        headers (Mapping): Headers by case-insensitive name.
        body (bytes): Complete body.
        received_at (float): Monotonic time in seconds at which the request was
            completely received.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    received_at: float


class Classified(NamedTuple):
    """Properties of a request that determine how it is scheduled.

    Args:
        team (Team): Team that is charged.
        cls (RequestClass): Request class, which names the service.
        fingerprint (bytes): Digest of team, service, method, path and body.
            Headers are left out, so it is the same when the caller sends the
            request again.
        prefix (int): Hash of the start of the prompt, 0 for no prompt.
        key (str): Idempotency key, "" for none. Not the key of the team.
    """

    team: Team
    cls: RequestClass
    fingerprint: bytes
    prefix: int
    key: str


class ClassificationFault(NamedTuple):
    """Why a request cannot be classified, including a missing or unknown key.

    Args:
        status (int): HTTP status of the answer.
        reason (str): Code of the reason.
        detail (str): Explanation sent to the caller.
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


_BODY_DECODER = msgspec.json.Decoder(_ModelBody)


class Classifier:
    """Classify requests according to a configuration.

    Args:
        config (Config): The configuration in force.
    """

    def __init__(self, config: Config) -> None:
        self._config = config
        self._team_by_key_hash = {
            h: t for t in config.teams for h in t.key_hashes
        }

    def __repr__(self) -> str:
        return f"Classifier(teams={len(self._config.teams)})"

    def authenticate(self, authorization: str) -> Team | ClassificationFault:
        """Returns the team that a bearer key belongs to, or a fault.

        Args:
            authorization (str): Value of the Authorization header.
        """
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != "bearer" or not key.strip():
            detail = "Send the team's key as Authorization: Bearer."
            return ClassificationFault(401, "no_key", detail)
        team = self._team_by_key_hash.get(hash_key(key.strip()))
        if team is None:
            return ClassificationFault(
                401, "unknown_key", "No team has this key."
            )
        return team

    def classify(self, req: CallerRequest) -> Classified | ClassificationFault:
        """Returns the classification of a request, or a fault.

        The class must match the path, and the service and class headers if
        they are given. If several services match, the model named in the body
        selects one; otherwise the classes with the longest path apply.
        """
        team = self.authenticate(req.headers.get("Authorization", ""))
        if isinstance(team, ClassificationFault):
            return team
        body = _decode_body(req.body)
        cls = self._find_class(req, body.model)
        if isinstance(cls, ClassificationFault):
            return cls
        key = req.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        fault = _check_idempotency_key(key, cls)
        if fault is not None:
            return fault
        digest = _fingerprint(team.name, cls, req)
        return Classified(team, cls, digest, _prompt_prefix_hash(body), key)

    def _find_class(
        self, req: CallerRequest, model: str
    ) -> RequestClass | ClassificationFault:
        path = req.path.partition("?")[0]
        candidates = [
            c for c in self._config.classes if path.startswith(c.path)
        ]
        service = req.headers.get(SERVICE_HEADER, "")
        if service:
            candidates = [c for c in candidates if c.service == service]
        elif len({c.service for c in candidates}) > 1:
            candidates = [
                c for c in candidates if c.service == model
            ] or _longest_path_classes(candidates)
        name = req.headers.get(CLASS_HEADER, "")
        if name:
            candidates = [c for c in candidates if c.name == name]
        if not candidates:
            detail = "No service has a class for this path, service and model."
            return ClassificationFault(404, "unknown_service", detail)
        candidates = _longest_path_classes(candidates)
        if len({c.service for c in candidates}) > 1:
            detail = f"Name the service in {SERVICE_HEADER} or as the model."
            return ClassificationFault(400, "ambiguous_service", detail)
        return candidates[0]


def _longest_path_classes(classes: list[RequestClass]) -> list[RequestClass]:
    longest = max((len(c.path) for c in classes), default=0)
    return [c for c in classes if len(c.path) == longest]


def _decode_body(body: bytes) -> _ModelBody:
    try:
        return _BODY_DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return _ModelBody()


def _check_idempotency_key(
    key: str, cls: RequestClass
) -> ClassificationFault | None:
    if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH or not key.isprintable():
        detail = (
            f"{IDEMPOTENCY_KEY_HEADER} takes up to "
            f"{MAX_IDEMPOTENCY_KEY_LENGTH} characters."
        )
        return ClassificationFault(400, "bad_idempotency_key", detail)
    if not cls.idempotent and not key:
        detail = (
            f"Class {cls.name} may run at most once: "
            f"send {IDEMPOTENCY_KEY_HEADER}."
        )
        return ClassificationFault(400, "no_idempotency_key", detail)
    return None


def _fingerprint(team: str, cls: RequestClass, req: CallerRequest) -> bytes:
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (team, cls.service, req.method, req.path):
        digest.update(part.encode() + b"\0")
    digest.update(req.body)
    return digest.digest()


def _prompt_prefix_hash(body: _ModelBody) -> int:
    head = str(body.prompt)[:MAX_PREFIX_CHARS]
    for msg in body.messages:
        head += str(msg.content)[:MAX_PREFIX_CHARS]
        if len(head) >= MAX_PREFIX_CHARS:
            break
    if not head:
        return 0
    digest = hashlib.blake2b(head[:MAX_PREFIX_CHARS].encode(), digest_size=7)
    return int.from_bytes(digest.digest())
