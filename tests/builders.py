"""Configuration rows for tests."""

import hashlib

JAR_ZONES = ("khangai", "gobi", "selenge")


def key_hash(key):
    """Return the hash of an API key as a contract row holds it."""
    return hashlib.sha256(key.encode()).hexdigest()


def contract_row(account="clerks", **changes):
    """Return a contract row with limits far above what most tests use."""
    row = {
        "account": account,
        "key_hashes": [key_hash(f"{account}-key")],
        "services": ["crock-llm", "counter-app"],
        "requests_per_s": 1000.0,
        "concurrency": 200,
        "tokens_per_s": 100000.0,
    }
    return {**row, **changes}


def jar_returns_rows():
    """Return the configuration rows of the fictitious Jar Returns Division."""
    rows = {f"zone/{zone}": {"name": zone, "region": f"{zone}-region"} for zone in JAR_ZONES}
    rows["service/crock-llm"] = {"name": "crock-llm", "kind": "engine", "ramp_s": 1.0}
    rows["service/counter-app"] = {
        "name": "counter-app",
        "kind": "plain",
        "methods": ["refund", "history"],
        "idempotent_methods": ["history"],
    }
    rows["contract/clerks"] = contract_row("clerks")
    rows["contract/counter"] = contract_row("counter")
    return rows
