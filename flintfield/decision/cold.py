"""Rule 4: how much work this dispatcher may send to a worker that has just started."""

from __future__ import annotations

from flintfield.decision.pricing import Pricing
from flintfield.decision.records import Worker, place_of

COLD_PART = 0.6  # fraction of the cold budget that is used; the rest covers jobs that cost more than hinted


class ColdStart(Pricing):
    """Divides cold workers' budgets, since all dispatchers together can overload a cold worker."""

    def _cold_room(self, worker: Worker, cost: float) -> bool:
        """Rule 4: a cold worker's budget is divided among as many dispatchers, in random order, as can each
        use their part."""
        if not worker.is_cold(rules := self.settings.rules, self.now):
            return True
        carries = self.fleet.survey(self._pace).carries.get(worker.entry.kind, 1.0)
        carries *= worker.warmth(rules, self.now)
        budget = COLD_PART * rules.fall_multiple * rules.fall_ms * carries
        return worker.sent_since(self.now - rules.fall_ms) + cost <= self._cold_share(worker, budget)

    def _cold_share(self, worker: Worker, budget: float) -> float:
        """This dispatcher's part of a cold worker's budget per `fall_ms` window."""
        n, hands = self.settings.dispatchers, self.hands
        users = max(1, min(n, int(budget / max(1.0, *(c.value for c in self.costs)))))
        if worker.turn < 0:
            worker.turn = place_of(self.settings.me, n, worker.entry.worker)
        return budget / users if worker.turn < users and not hands.cold_elsewhere else 0.0
