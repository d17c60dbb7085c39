"""One scenario as a whole: the top of the file."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, field

from flintfield.lab.scenario.fleet import Fleet
from flintfield.lab.scenario.requests import RequestClass, Load, Clients
from flintfield.lab.scenario.surroundings import Network, Front, Schedulers, Sharing, Discovery, Rules, Goal
from flintfield.lab.scenario.troubles import AnyTrouble
from flintfield.lab.scenario.types import Positive, Spec


class Scenario(Spec):
    """One scenario; `format` is 1."""

    name: Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9+.-]{0,63}$")]
    fleet: Fleet
    classes: Annotated[list[RequestClass], Meta(min_length=1, max_length=32)]
    load: Load
    format: Literal[1] = 1
    about: str = ""
    guards: str = ""  # for a regression: the sentence that it guards
    seed: Annotated[int, Meta(ge=0)] = 1  # played where none is named; a regression's own
    length_s: Positive = 50.0
    tail_s: Positive = 25.0  # at the most; the run ends when all is answered
    zones: Annotated[tuple[str, ...], Meta(min_length=1)] = ("a", "b", "c")
    network: Network = field(default_factory=Network)
    front: Front = field(default_factory=Front)
    schedulers: Schedulers = field(default_factory=Schedulers)
    sharing: Sharing = field(default_factory=Sharing)
    discovery: Discovery = field(default_factory=Discovery)
    clients: Clients = field(default_factory=Clients)
    rules: Rules = field(default_factory=Rules)
    goal: Goal = field(default_factory=Goal)
    trouble: list[AnyTrouble] = field(default_factory=list)
