"""Recognize a request that comes again, whoever takes it."""

import hashlib

from .senders import Request

DIGEST_BYTES = 16
# Headers by which callers say who they are.
CALLER_HEADERS = ("authorization", "cookie")


def fingerprint(host: str, service: str, request: Request) -> str:
    """Digest what a request asks and who asks it.

    A caller that tries again sends another request id, another deadline
    and perhaps other headers of its own. Of a long body only what is kept
    counts: the rest is not there yet when the request is placed.
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
