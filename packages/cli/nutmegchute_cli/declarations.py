"""Read declarations: a folder with one JSON file per team."""

import hashlib
from pathlib import Path
from typing import Any

import msgspec
from nutmegchute_core.declarations import check_team
from nutmegchute_core.declarations import check_tree
from nutmegchute_core.errors import DeclarationError
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from .errors import UsageError


def read_declarations(folder: Path) -> Result[dict[str, Any], UsageError]:
    """Read and check every team's file, named after the team."""
    documents: dict[str, Any] = {}
    paths = sorted(folder.glob("*.json"))
    if not paths:
        return Failure(UsageError(f"{folder}: no declarations (*.json) here"))
    for path in paths:
        try:
            document = msgspec.json.decode(path.read_bytes())
            check_team(path.stem, document)
        except OSError as error:
            return Failure(UsageError(f"{path}: {error.strerror}"))
        except (msgspec.DecodeError, DeclarationError) as error:
            return Failure(UsageError(f"{path}: {error}"))
        documents[path.stem] = document
    try:
        check_tree(documents)
    except DeclarationError as error:
        return Failure(UsageError(f"{folder}: {error}"))
    return Success(documents)


def change_id(
    bases: dict[str, int], documents: dict[str, Any], key: str
) -> str:
    """Return an id derived from a change's content, to recognise a resend.

    The operator's key is included: the same content sent by two operators
    is two changes, and the audit trail must record both.
    """
    content = [bases, documents, hashlib.sha256(key.encode()).hexdigest()]
    data = msgspec.json.encode(content, order="deterministic")
    return hashlib.sha256(data).hexdigest()[:32]
