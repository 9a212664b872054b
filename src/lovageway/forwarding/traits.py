"""Traits of requests: what several requests may have in common that crashes servers.

They are the fingerprint of the whole request, for a client that repeats it, and each part of its
prompt that other requests may share.
"""

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

MAX_PARTS = 64  # parts of one prompt that are examined
MAX_LABEL = 64  # characters


class Trait(NamedTuple):
    """A property that requests share; two requests have the same trait if the marks are equal."""

    mark: bytes
    label: str  # for operators
    is_part: bool = False  # of prompts, rather than a whole request


def _digest(*parts: bytes) -> bytes:
    digest = blake2b(digest_size=8)
    for part in parts:
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()


def fingerprint(account: str | None, method: str, target: str, body: bytes) -> Trait:
    """Return the trait that all repetitions of one request share."""
    mark = _digest((account or "").encode(), method.encode(), target.encode(), body)
    return Trait(mark, f"request {target}"[:MAX_LABEL])


def part_traits(service: str, parts: Iterable[str]) -> tuple[Trait, ...]:
    """Return the traits of the parts of a prompt, each once and at most MAX_PARTS of them.

    A part is a trait of one service: the servers of another run other software.
    """
    names = list(dict.fromkeys(parts))[:MAX_PARTS]
    return tuple(
        Trait(
            _digest(b"part", service.encode(), name.encode(errors="replace")),
            f"part {name} of {service}"[:MAX_LABEL],
            is_part=True,
        )
        for name in names
    )


def server_token(server: str, started_at_ms: int) -> bytes:
    """Return a digest that identifies one start of a server."""
    return blake2b(f"{server}/{started_at_ms}".encode(), digest_size=4).digest()
