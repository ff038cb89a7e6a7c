"""Authenticates and parses callers' requests."""

from __future__ import annotations

import hashlib
import uuid
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

import orjson

from tanagerturn.schema import settings_pb2 as pb
from tanagerturn.schema.serving_pb2 import (
    IDEMPOTENT,
    NOT_REPEATABLE,
    PATIENT,
    CallKind,
    Priority,
)
from tanagerturn.serving.cache.blocks import (
    CHARACTERS_PER_TOKEN,
    cache_seed,
    hash_text_blocks,
)
from tanagerturn.serving.cache.prompts import prompt_text
from tanagerturn.serving.requests.ids import MAX_KEY_CHARACTERS
from tanagerturn.shared.problems import ProblemError
from tanagerturn.shared.resolved_settings import ResolvedSettings, find_call

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from tanagerturn.serving.cache.blocks import BlockHash

SERVICES_PATH: Final = "/services/"
MODEL_PATHS: Final = ("/v1/completions", "/v1/chat/completions")
HOP_BY_HOP: Final = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
PRIVATE_HEADERS: Final = frozenset({"authorization", "cookie"})
BACKEND_HEADERS: Final = frozenset(
    {
        "idempotency-key",
        "x-attempt",
        "x-deadline-ms",
        "x-kv-handle",
        "x-priority",
        "x-request-id",
        "x-resume-from",
    }
)
"""Control headers for backend servers; only the entry host may set them."""
UNFORWARDED_HEADERS: Final = HOP_BY_HOP | PRIVATE_HEADERS | BACKEND_HEADERS
"""Headers of callers that are not forwarded to backend servers."""


@dataclass(frozen=True)
class Prompt:
    """Cache blocks and token counts of a prompt, used for routing."""

    blocks: Sequence[BlockHash] = ()
    """Hashes of the prompt's prefix blocks, in order; empty without a prompt."""
    tokens: int = 0
    """Estimated number of prompt tokens; 0 without a prompt."""
    output_tokens: int = 0
    """Requested maximum number of output tokens; 0 if the caller set no maximum."""


NO_PROMPT: Final = Prompt()
"""Value for calls to plain services, which have no prompt."""


@dataclass(frozen=True)
class CallerCall:
    """One parsed and validated request of a caller."""

    request_id: str
    """Unique id that this entry host assigned to the request."""
    account: pb.ClientAccount
    """Client account of the caller."""
    service: pb.Service
    """Settings of the called service."""
    kind: CallKind.ValueType
    """Whether the call may be repeated after a failure."""
    priority: Priority.ValueType
    """Priority of the call."""
    deadline_ms: int
    """Time from arrival to the complete response, in milliseconds."""
    idempotency_key: str
    """Idempotency key that the caller sent or, for a patient request, that was
    generated; empty if there is none."""
    method: str
    """HTTP method."""
    path: str
    """Path and query string at the backend server."""
    headers: list[tuple[str, str]]
    """Caller headers to forward to the backend server."""
    body: bytes
    """Request body as received."""
    fingerprint: bytes
    """BLAKE2b hash of method, path and body; detects a reused idempotency key."""
    is_model: bool = False
    """Whether the call goes to a model engine, not to a plain service."""
    stream: bool = False
    """Whether the caller requested a stream of server-sent events."""
    respond_async: bool = False
    """Whether the caller collects the response later (Prefer: respond-async)."""
    payload: Mapping[str, Any] = field(default_factory=dict)
    """Parsed JSON body of a request to a model engine; empty for a plain
    service."""
    prompt: Prompt = NO_PROMPT
    """Prompt data for routing; `NO_PROMPT` for plain services."""


def read_call(
    environ: Mapping[str, Any], resolved_settings: ResolvedSettings
) -> CallerCall:
    """Authenticate and parse one request.

    Args:
        environ: WSGI environment.
        resolved_settings: Resolved settings in force.

    Returns:
        The parsed request.

    Raises:
        ProblemError: The request is invalid or not allowed.
    """
    account = authenticate(environ, resolved_settings)
    path = environ["PATH_INFO"]
    if path in MODEL_PATHS:
        call = _read_model_call(environ, resolved_settings, account)
    elif path.startswith(SERVICES_PATH):
        call = _read_service_call(environ, resolved_settings, account)
    else:
        raise ProblemError(404, "Not found", f"No resource at {path}.")
    if account.services and call.service.name not in account.services:
        detail = f"{account.name} may not call {call.service.name}."
        raise ProblemError(403, "Service not allowed", detail, step="authorize")
    return call


def authenticate(
    environ: Mapping[str, Any], resolved_settings: ResolvedSettings
) -> pb.ClientAccount:
    """Return the client account that owns the request's bearer key.

    Raises:
        ProblemError: The bearer key is missing or unknown.
    """
    scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        detail = "Send your key as Authorization: Bearer KEY."
        raise ProblemError(401, "No key", detail, step="authenticate")
    name = resolved_settings.account_keys.owner_of(key.strip())
    if not name:
        raise ProblemError(401, "Unknown key", "No client account has this key.",
                           step="authenticate")  # fmt: skip
    return resolved_settings.accounts[name]


def _read_service_call(
    environ: Mapping[str, Any],
    resolved_settings: ResolvedSettings,
    account: pb.ClientAccount,
) -> CallerCall:
    name, _, rest = environ["PATH_INFO"][len(SERVICES_PATH) :].partition("/")
    service = resolved_settings.services.get(name)
    if service is None or service.type != pb.PLAIN:
        raise ProblemError(404, "Unknown service", f"No service {name!r}.")
    method = environ["REQUEST_METHOD"]
    path = f"/{rest}"
    call = find_call(service, method, path)
    if call is None:
        detail = f"Service {name} has no call {method} {path}."
        raise ProblemError(404, "Unknown call", detail)
    body = _read_body(environ)
    query = environ.get("QUERY_STRING", "")
    full_path = f"{path}?{query}" if query else path
    return CallerCall(
        request_id=new_request_id(),
        account=account,
        service=service,
        kind=call.kind,
        priority=call.priority,
        deadline_ms=call.deadline_ms,
        idempotency_key=_read_key(environ, call.kind) or _generate_key(call.kind),
        method=method,
        path=full_path,
        headers=_forwarded_headers(environ),
        body=body,
        fingerprint=_fingerprint(method, full_path, body),
        respond_async=_wants_async(environ) and call.kind == PATIENT,
    )


def _read_model_call(
    environ: Mapping[str, Any],
    resolved_settings: ResolvedSettings,
    account: pb.ClientAccount,
) -> CallerCall:
    if environ["REQUEST_METHOD"] != "POST":
        raise ProblemError(405, "Method not allowed", "Use POST.")
    body = _read_body(environ)
    payload = _read_payload(body)
    model = payload.get("model")
    service = resolved_settings.model_service(model) if isinstance(model, str) else None
    if service is None:
        raise ProblemError(404, "Unknown model", f"No service runs {model!r}.")
    respond_async = _wants_async(environ)
    key = _read_key(environ, IDEMPOTENT)
    path = environ["PATH_INFO"]
    return CallerCall(
        request_id=new_request_id(),
        account=account,
        service=service,
        kind=PATIENT if respond_async or key else IDEMPOTENT,
        priority=service.priority,
        deadline_ms=service.deadline_ms,
        idempotency_key=key or (uuid.uuid4().hex if respond_async else ""),
        method="POST",
        path=path,
        headers=_forwarded_headers(environ),
        body=body,
        fingerprint=_fingerprint("POST", path, body),
        is_model=True,
        stream=payload.get("stream") is True and not respond_async,
        respond_async=respond_async,
        payload=payload,
        prompt=read_prompt(payload, service),
    )


def read_prompt(payload: Mapping[str, Any], service: pb.Service) -> Prompt:
    """Return the cache blocks and token counts of a prompt.

    Args:
        payload: Parsed body of the request.
        service: Service that runs the model.

    Raises:
        ProblemError: The prompt or messages have no text.
    """
    try:
        text = prompt_text(payload)
    except ValueError as error:
        raise ProblemError(400, "Malformed body", str(error)) from error
    model_name = payload["model"]
    models = service.models
    found = next((m for m in models if m.model == model_name), models[0])
    requested_tokens = payload.get("max_tokens") or payload.get("max_completion_tokens")
    return Prompt(
        blocks=hash_text_blocks(text, cache_seed(found.model, found.version)),
        tokens=max(1, len(text) // CHARACTERS_PER_TOKEN),
        output_tokens=requested_tokens
        if type(requested_tokens) is int and requested_tokens > 0
        else 0,
    )


def new_request_id() -> str:
    """Return a new random request id."""
    return uuid.uuid4().hex


def _read_payload(body: bytes) -> dict[str, Any]:
    try:
        payload = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise ProblemError(400, "Malformed body", f"Not JSON: {error}.") from error
    if not isinstance(payload, dict):
        raise ProblemError(400, "Malformed body", "The body must be a JSON object.")
    has_prompt = isinstance(payload.get("prompt"), str)
    if not has_prompt and not isinstance(payload.get("messages"), list):
        detail = "The body needs prompt (text) or messages (list)."
        raise ProblemError(400, "Malformed body", detail)
    return payload


def _read_body(environ: Mapping[str, Any]) -> bytes:
    body: bytes = environ["wsgi.input"].read()
    return body


def _read_key(environ: Mapping[str, Any], kind: CallKind.ValueType) -> str:
    key: str = environ.get("HTTP_IDEMPOTENCY_KEY", "").strip().strip('"')
    if kind == NOT_REPEATABLE and not key:
        detail = "This call may not be repeated: send an Idempotency-Key."
        raise ProblemError(400, "Idempotency-Key missing", detail)
    if len(key) > MAX_KEY_CHARACTERS or not key.isprintable():
        detail = f"Use at most {MAX_KEY_CHARACTERS} printable characters."
        raise ProblemError(400, "Idempotency-Key not usable", detail)
    return key


def _generate_key(kind: CallKind.ValueType) -> str:
    return uuid.uuid4().hex if kind == PATIENT else ""


def _wants_async(environ: Mapping[str, Any]) -> bool:
    preferences = environ.get("HTTP_PREFER", "").lower().split(",")
    return "respond-async" in {p.strip() for p in preferences}


def _forwarded_headers(environ: Mapping[str, Any]) -> list[tuple[str, str]]:
    headers = []
    for name, value in environ.items():
        if name == "CONTENT_TYPE" and value:
            headers.append(("content-type", value))
        if not name.startswith("HTTP_"):
            continue
        header = name[len("HTTP_") :].replace("_", "-").lower()
        if header not in UNFORWARDED_HEADERS:
            headers.append((header, value))
    return headers


def _fingerprint(method: str, path: str, body: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{method} {path}\n".encode("utf-8", "surrogateescape"))
    digest.update(body)
    return digest.digest()
