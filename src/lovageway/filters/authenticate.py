"""Finds the client account of a request by its API key and checks what its contract allows."""

import hashlib
import hmac

from expression import Ok

from lovageway.chain import Context, Filter, Verdict, stop
from lovageway.codes import Code, Refusal
from lovageway.controllers.configuration import Configuration
from lovageway.events import Emit
from lovageway.model import BATCH, INTERACTIVE, Contract


class Authenticate(Filter):
    """Adds the contract, the service and the request class to the context."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._version = 0
        self._by_hash: dict[str, Contract] = {}

    def admit(self, ctx: Context, now: float, emit: Emit) -> Verdict:
        """Refuse unknown keys, services, methods and request classes."""
        contract = self.contract(ctx.req.api_key)
        if contract is None:
            return stop(Refusal(Code.UNKNOWN_KEY))
        service = self._configuration.snapshot.services.get(ctx.req.service)
        if service is None or service.name not in contract.services:
            return stop(Refusal(Code.UNKNOWN_MODEL, f"Service: {ctx.req.service[:80]!r}."))
        if service.kind == "plain" and ctx.req.method not in service.methods:
            return stop(Refusal(Code.UNKNOWN_METHOD, f"Method: {ctx.req.method[:80]!r}."))
        request_class = ctx.req.request_class or contract.request_class
        if request_class not in (INTERACTIVE, BATCH):
            return stop(Refusal(Code.MALFORMED, f"Request class {request_class[:80]!r}."))
        return Ok(ctx._replace(contract=contract, service=service, request_class=request_class))

    def contract(self, api_key: str) -> Contract | None:
        """Return the contract that the key belongs to, None for an unknown key."""
        snapshot = self._configuration.snapshot
        if snapshot.version != self._version:
            self._by_hash = {
                key_hash: contract
                for contract in snapshot.contracts.values()
                for key_hash in contract.key_hashes
            }
            self._version = snapshot.version
        # The table is keyed by the hash, so the time of a lookup reveals nothing about a key.
        digest = hash_key(api_key)
        found = self._by_hash.get(digest)
        if found and any(hmac.compare_digest(digest, known) for known in found.key_hashes):
            return found
        return None


def hash_key(api_key: str) -> str:
    """Return the hash under which a contract stores a key: SHA-256 in hexadecimal."""
    return hashlib.sha256(api_key.encode()).hexdigest()
