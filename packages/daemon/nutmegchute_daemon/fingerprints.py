"""Recognize a request that comes again, whoever takes it."""

import xxhash

from .senders import Request


def fingerprint(host: str, service: str, request: Request) -> str:
    """Digest what a request asks.

    A caller that tries again sends another request id, another deadline
    and perhaps other headers of its own. What it asks stays the same.
    """
    digest = xxhash.xxh3_64()
    for part in (host.lower(), service, request.method, request.target):
        digest.update(part.encode("latin-1", "replace"))
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()
