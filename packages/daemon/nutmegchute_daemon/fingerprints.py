"""Recognize repetitions of a request at any entry."""

import hashlib

from .senders import Request

DIGEST_BYTES = 16
# Headers by which callers identify themselves.
CALLER_HEADERS = ("authorization", "cookie")


def fingerprint(host: str, service: str, request: Request) -> str:
    """Return a digest of a request's content and of who sends it.

    A caller that retries sends another request id, another deadline and
    perhaps other headers of its own, so only the headers that identify it
    count. Of a long body only the buffered part counts: the rest has not
    arrived when an endpoint is chosen.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    parts = [host.lower(), service, request.method, request.target]
    parts += [request.headers.get(name, "") for name in CALLER_HEADERS]
    for part in parts:
        data = part.encode("utf-8", "surrogateescape")
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    digest.update(request.body)
    return digest.hexdigest()
