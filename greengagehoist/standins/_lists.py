"""Example configuration of a small deployment, as changes to an empty one."""

import hashlib
from typing import Any

STAGES = (("encoder", ""), ("retriever", ""), ("reranker", ""), ("engine", "summary"))


def credential_of(customer: str) -> str:
    """Return the bearer credential of a customer of the example configuration."""
    return f"credential-of-{customer}"


def example_changes(customers: tuple[str, ...] = ("depot", "clerks")) -> list[dict[str, Any]]:
    """Return changes that define one plan, one four-stage pipeline and one service.

    :param customers: customers with the plan ``crew``.
    """
    stages = [
        {"name": role, "role": role, **({"model": model} if model else {})}
        for role, model in STAGES
    ]
    usage = {
        "pipelines": ["round-summary"],
        "services": ["job-desk"],
        "deadline_ms": 10_000,
        "limits": {"requests_per_minute": 6000, "tokens_per_minute": 600_000, "concurrency": 64},
    }
    operations = {"book": "non-idempotent", "history": "idempotent"}
    changes = [
        {"section": "pipelines", "key": "round-summary", "value": {"stages": stages}},
        {"section": "services", "key": "job-desk", "value": {"operations": operations}},
        {"section": "usage", "key": "crew", "value": usage},
    ]
    for customer in customers:
        digest = hashlib.sha256(credential_of(customer).encode()).hexdigest()
        value = {"plan": "crew", "credential_sha256": digest}
        changes.append({"section": "holdings", "key": customer, "value": value})
    return changes
