"""Signature Version 4: whether a request was signed with a key that we know, and not too long ago.

Pure: time and keys are handed in. Source: AWS General Reference, "Signature Version 4 signing process"
(canonical request, string to sign, signing key); Amazon SQS API Reference, "Common Error Types". Signed
headers must hold the host and the date, or a request for one service could be sent to another, or much
later.

Signatures in the query string (presigned) are not taken: the answer says so.
"""

from __future__ import annotations

import hashlib
import hmac
import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from urllib.parse import parse_qsl, quote, unquote

from flintfield.queues.errors import QueueError

ALGORITHM = "AWS4-HMAC-SHA256"
SERVICE = "sqs"
DATE = "%Y%m%dT%H%M%SZ"
PARTS = re.compile(rf"{ALGORITHM}\s+Credential=([^,\s]+),\s*SignedHeaders=([^,\s]+),"
                   r"\s*Signature=([0-9a-f]{64})")
BLANKS = re.compile(r" +")
UNSIGNED = "UNSIGNED-PAYLOAD"


@dataclass(frozen=True, slots=True)
class Signed:
    """A request as it was signed; header names in lower case, in the order in which they came."""

    method: str
    path: str
    query: str
    headers: Sequence[tuple[str, str]]
    body: bytes


def refused(code: str, message: str, status: int = 403) -> QueueError:
    """An error of authentication, by its published code."""
    return QueueError(code, message, status)


def verify(request: Signed, keys: Mapping[str, str], now: datetime, skew_s: float, region: str) -> str:
    """Check a signature; the access key id that made it. A `QueueError` says what is wrong.

    `keys` are secrets by access key id; `skew_s` is how far the signer's clock may be from `now`, both ways.
    """
    headers = {name: value for name, value in request.headers}
    if "authorization" not in headers:
        if "X-Amz-Signature=" in request.query:
            raise refused("IncompleteSignature", "Signatures in the query string are not supported.", 400)
        raise refused("MissingAuthenticationToken", "Request is missing Authentication Token")
    found = PARTS.fullmatch(headers["authorization"].strip())
    if not found:
        raise refused("IncompleteSignature", "The Authorization header must hold Credential, SignedHeaders "
                                             f"and Signature after {ALGORITHM}.", 400)
    credential, names, signature = found.groups()
    key_id, _, scope = credential.partition("/")
    if key_id not in keys:
        raise refused("InvalidClientTokenId", "The security token included in the request is invalid.")
    at = _signed_at(headers)
    expected = f"{at:%Y%m%d}/{region}/{SERVICE}/aws4_request"
    if scope != expected:
        raise refused("SignatureDoesNotMatch", f"Credential should be scoped to {expected}, not {scope}.")
    if abs((now - at).total_seconds()) > skew_s:
        raise refused("SignatureDoesNotMatch", f"Signature expired or not yet current: {at.strftime(DATE)} "
                                               f"is more than {skew_s:g} s from {now.strftime(DATE)}.")
    signed = names.split(";")
    if "host" not in signed or not {"x-amz-date", "date"} & set(signed):
        raise refused("SignatureDoesNotMatch", "'Host' and 'X-Amz-Date' must be signed headers.")
    if missing := [n for n in signed if n not in headers]:
        raise refused("SignatureDoesNotMatch", f"Signed header {missing[0]} is not in the request.")
    wanted = sign(request, signed, keys[key_id], at, scope)
    if not hmac.compare_digest(wanted, signature):
        raise refused("SignatureDoesNotMatch",
                      "The request signature we calculated does not match the signature you provided. Check "
                      "your AWS Secret Access Key and signing method.")
    return key_id


def sign(request: Signed, names: Sequence[str], secret: str, at: datetime, scope: str) -> str:
    """The signature in hexadecimal that a request must have."""
    canonical = canonical_request(request, names)
    text = "\n".join((ALGORITHM, at.strftime(DATE), scope, hashlib.sha256(canonical.encode()).hexdigest()))
    key = b"AWS4" + secret.encode()
    for part in scope.split("/"):
        key = hmac.digest(key, part.encode(), "sha256")
    return hmac.new(key, text.encode(), "sha256").hexdigest()


def canonical_request(request: Signed, names: Sequence[str]) -> str:
    """The request in the one form that both sides sign."""
    values: dict[str, list[str]] = {}
    for name, value in request.headers:
        values.setdefault(name, []).append(BLANKS.sub(" ", value.strip()))
    pairs = sorted((_quoted(n), _quoted(v)) for n, v in parse_qsl(request.query, keep_blank_values=True))
    payload = values.get("x-amz-content-sha256", [""])[0]
    if payload != UNSIGNED:
        payload = hashlib.sha256(request.body).hexdigest()
    return "\n".join((
        request.method, quote(_normal(request.path), safe="/-_.~"),
        "&".join(f"{n}={v}" for n, v in pairs),
        "".join(f"{n}:{','.join(values[n])}\n" for n in names), ";".join(names), payload))


def _quoted(text: str) -> str:
    return quote(text, safe="-_.~")


def _normal(path: str) -> str:
    """The path without empty and dotted parts, each part encoded once (RFC 3986, section 5.2.4)."""
    kept: list[str] = []
    for part in path.split("/"):
        if part == "..":
            del kept[-1:]
        elif part not in ("", "."):
            kept.append(quote(unquote(part), safe="-_.~"))
    whole = "/" + "/".join(kept)
    return whole + "/" if path.endswith("/") and kept else whole


def _signed_at(headers: Mapping[str, str]) -> datetime:
    text = headers.get("x-amz-date", "")
    try:
        return datetime.strptime(text, DATE).replace(tzinfo=UTC)
    except ValueError:
        raise refused("IncompleteSignature", f"X-Amz-Date must be like 20261201T120000Z, not {text[:40]!r}.",
                      400) from None
