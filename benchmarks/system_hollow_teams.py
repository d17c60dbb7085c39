"""A configuration with the queues of 190 teams, as the dispatcher reads it."""

from __future__ import annotations

from dataclasses import dataclass

TEAMS = 190


@dataclass(frozen=True, slots=True)
class TeamRoute:
    """A team's queue."""

    name: str
    path_prefix: str
    service: str
    priority: int
    max_attempts: int = 3
    extension: float = 2.0
    target_latency_ms: int = 2_000


class Teams:
    """A configuration with a queue for each team, and one for its urgent work."""

    version = 1

    def __init__(self, services: int) -> None:
        routes = []
        for team in range(TEAMS):
            service = f"service-{team % services}"
            routes.append(TeamRoute(f"team-{team}", f"/team-{team}/", service, 2))
            routes.append(
                TeamRoute(f"team-{team}-urgent", f"/urgent-{team}/", service, 0, target_latency_ms=300)
            )
        self.routes = tuple(routes)
        self._by_prefix = {route.path_prefix: route for route in routes}

    def find_route(self, _host: str, path: str) -> TeamRoute | None:
        """By the first part of the path."""
        return self._by_prefix.get(f"/{path.split('/', 2)[1]}/")
