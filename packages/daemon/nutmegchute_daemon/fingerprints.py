"""Recognize repetitions of a request at any entry."""

import hashlib

from .senders import Request

DIGEST_BYTES = 16
# Headers by which callers identify themselves.
KEY_HEADER = "authorization"
CALLER_HEADERS = (KEY_HEADER, "cookie")


def fingerprint(
    host: str, service: str, request: Request, with_key: bool = True
) -> str:
    """Return a digest of a request's content and of who sends it.

    Without the key, the header ``Authorization`` does not count.

    A caller that retries sends another request id, another deadline and
    perhaps other headers of its own, so only the headers that identify it
    count. Of a long body only the buffered part counts: the rest has not
    arrived when an endpoint is chosen.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    parts = [host.lower(), service, request.method, request.target]
    for name in CALLER_HEADERS:
        counts = with_key or name != KEY_HEADER
        parts.append(request.headers.get(name, "") if counts else "")
    for part in parts:
        data = part.encode("utf-8", "surrogateescape")
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    digest.update(request.body)
    return digest.hexdigest()


def add_organisation(content: str, name: str) -> str:
    """Return the fingerprint of a request that an organisation sends.

    ``content`` is its fingerprint without the key: the key may be exchanged,
    and nothing derived from it may reach a log.
    """
    data = f"{content} {name}".encode()
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
