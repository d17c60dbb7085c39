"""Faults planted on purpose: each takes one safeguard out of the program, by name.

The simulator is worth as much as it finds of them. A fault is a list of attributes that are replaced while it
is planted; nothing of it is in the program itself. `theme`, `within` and `first` tell where it is found:
among so many histories of that theme, from that seed on. Those with `IN_SMALL_WORLDS` need moments that
histories seldom have; the explorers find them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from unittest import mock

from flintfield.simulation.planted import agent, control, coordination, dispatcher
from flintfield.simulation.planted.patch import Patch
from flintfield.simulation.themes import Theme


IN_SMALL_WORLDS = 0
"""In place of a number of histories: found by exploring a small world (`explore/core_changes.py`)."""


@dataclass(frozen=True, slots=True)
class PlantedFault:
    """A fault: what it does; its patches, which are made anew for each planting; where it is found."""

    about: str
    patches: Callable[[], list[Patch]]
    theme: Theme
    within: int
    first: int = 0

    @property
    def seeds(self) -> range:
        """The histories in which it is looked for."""
        return range(self.first, self.first + self.within)


@contextmanager
def planted(name: str) -> Iterator[None]:
    """Have this fault planted; "" plants none."""
    with ExitStack() as stack:
        for patch in FAULTS[name].patches() if name else []:
            stack.enter_context(mock.patch.object(patch.owner, patch.attribute, patch.value))
        yield


FAULTS: dict[str, PlantedFault] = {
    "acknowledge-before-sync": PlantedFault(
        "replicas answer before their disk has synced", coordination.acknowledge_before_sync, Theme.STRIKE, 4
    ),
    "vote-after-wipe": PlantedFault(
        "a replica keeps its identity and set over the loss of its disk",
        coordination.vote_after_wipe,
        Theme.CORE,
        IN_SMALL_WORLDS,
    ),
    "obey-lower-epochs": PlantedFault(
        "replicas promise and obey any epoch", coordination.obey_lower_epochs, Theme.TAKEOVER, 48
    ),
    "forget-position-at-election": PlantedFault(
        "a new leader begins with its own state",
        coordination.forget_position_at_election,
        Theme.TAKEOVER,
        4,
        first=9,
    ),
    "act-without-lease": PlantedFault(
        "a leader acts until somebody tells it that it is deposed",
        coordination.act_without_lease,
        Theme.TAKEOVER,
        20,
    ),
    "skip-sealing": PlantedFault(
        "replicas hand their state on while they still take writes",
        coordination.skip_sealing,
        Theme.CORE,
        IN_SMALL_WORLDS,
    ),
    "accept-below-promise": PlantedFault(
        "registers accept ballots below a promise", coordination.accept_below_promise, Theme.REGISTER, 20
    ),
    "commit-at-one-replica": PlantedFault(
        "a change counts as committed at the first replica",
        coordination.commit_at_one_replica,
        Theme.REGISTER,
        IN_SMALL_WORLDS,
    ),
    "tell-another-value": PlantedFault(
        "whoever is asked for the value of a ballot tells the newest one",
        coordination.tell_another_value,
        Theme.REGISTER,
        20,
    ),
    "accept-without-base": PlantedFault(
        "a replica that lacks the base of a difference says that it has accepted",
        coordination.accept_without_base,
        Theme.REGISTER,
        IN_SMALL_WORLDS,
    ),
    "introduce-nobody": PlantedFault(
        "who knows the core tells it to no seed", coordination.introduce_nobody, Theme.SEEDS, 12
    ),
    "place-before-durable": PlantedFault(
        "start orders leave before the placement is durable",
        dispatcher.place_before_durable,
        Theme.STRIKE,
        10,
    ),
    "accept-before-durable": PlantedFault(
        "jobs are acknowledged before they are durable", dispatcher.accept_before_durable, Theme.STRIKE, 60
    ),
    "advance-last-seen-early": PlantedFault(
        "lastSeen passes ends that are not durable", dispatcher.advance_last_seen_early, Theme.STRIKE, 150
    ),
    "one-epoch-for-all": PlantedFault(
        "every dispatcher uses the same fencing token", dispatcher.one_epoch_for_all, Theme.TAKEOVER, 48
    ),
    "silence-is-stopped": PlantedFault(
        "a stop without an answer counts as carried out", dispatcher.silence_is_stopped, Theme.WORKERS, 80
    ),
    "unanswered-is-not-started": PlantedFault(
        "a start without an answer counts as not carried out",
        dispatcher.unanswered_is_not_started,
        Theme.TAKEOVER,
        6,
    ),
    "free-at-silence": PlantedFault(
        "runs are given up before their hold is over", dispatcher.free_at_silence, Theme.HOLDS, 80
    ),
    "free-at-stop": PlantedFault(
        "capacity is free when a stop is ordered", dispatcher.free_at_stop, Theme.MIXED, 30
    ),
    "repeat-is-new": PlantedFault(
        "a job that is sent again is a new job", dispatcher.repeat_is_new, Theme.MIXED, 10
    ),
    "ignore-dependencies": PlantedFault(
        "all steps of a job begin at once", dispatcher.ignore_dependencies, Theme.MIXED, 10
    ),
    "forget-failures": PlantedFault("failed runs do not count", dispatcher.forget_failures, Theme.MIXED, 20),
    "late-cancel": PlantedFault(
        "what runs of an ended job is not stopped", dispatcher.late_cancel, Theme.CALM, 10
    ),
    "grant-from-receipt": PlantedFault(
        "holds are granted from the receipt of the orders", agent.grant_from_receipt, Theme.HOLDS, 10
    ),
    "start-while-draining": PlantedFault(
        "workers that leave are still given runs", agent.start_while_draining, Theme.WORKERS, 10
    ),
    "doubt-is-forgotten": PlantedFault(
        "an unanswered try is told as not carried out", agent.doubt_is_forgotten, Theme.TAKEOVER, 20
    ),
    "broken-is-not-sent": PlantedFault(
        "a call that broke off is told as not sent", agent.broken_is_not_sent, Theme.WORKERS, 24
    ),
    "take-incomplete-listings": PlantedFault(
        "runs that an answer with 500 ends left out count as vanished",
        agent.take_incomplete_listings,
        Theme.CROWDS,
        3,
    ),
    "drop-stops": PlantedFault(
        "an agent drops stops beyond a bound without a word", agent.drop_stops, Theme.CROWDS, 3
    ),
    "know-jobs-by-id-alone": PlantedFault(
        "a job is found by its ID whatever the queue", dispatcher.know_jobs_by_id_alone, Theme.CROWDS, 3
    ),
    "forget-deregistered-workers": PlantedFault(
        "a deregistered worker is reported for 2 s and called for 5 s, whatever it still runs",
        agent.forget_deregistered_workers,
        Theme.LEAVING,
        12,
        first=50,
    ),
    "decide-before-confirmed": PlantedFault(
        "a new dispatcher decides by whatever its process knows: no configuration, the terms of acceptances",
        dispatcher.decide_before_confirmed,
        Theme.TERMS,
        12,
        first=11,
    ),
    "answer-long-reads-by-itself": PlantedFault(
        "reads whose answers are too long for a link are not redirected",
        control.answer_long_reads_by_itself,
        Theme.LINKS,
        10,
    ),
}
