"""Host names in the form in which they are compared."""

from __future__ import annotations


def canonical_host(host: str) -> str:
    """The name in a `Host` header: lower case, without the port."""
    return host.strip().partition(":")[0].lower()
