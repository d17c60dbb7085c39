"""Leads a log's records through tries, rules, service and cost, in that order, and gives the verdict."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec

from flintfield.lab.judge.answer import Answers
from flintfield.lab.judge.cold import ColdStarts
from flintfield.lab.judge.cost import Costs
from flintfield.lab.judge.drain import Drains
from flintfield.lab.judge.findings import Figures, Findings, LogError
from flintfield.lab.judge.repeat import Repeats
from flintfield.lab.judge.service import Services, Wish
from flintfield.lab.judge.tries import Tries
from flintfield.lab.log import (
    AnyRecord, Answered, Arrived, Asked, Begin, Broke, ConnectionLost, Done, End, GivenUp, LetGo, NodeState,
    NodeUp, NodeWarmth, ProbeSeen, SchedulerState, Sent, Started, Told, TurnedAway, Unreached, encode_line,
)
from flintfield.lab.verdict import Verdict

Handler = Callable[[int, Any], None]


class Judge:
    """Takes one log's records in order and then says its verdict."""

    def __init__(self, on_wish: Callable[[Wish], None] | None = None) -> None:
        self._on_wish = on_wish
        self._begin: Begin | None = None
        self._end: End | None = None
        self._count, self._now = 0, 0.0
        self._hash = hashlib.sha256()
        self._handlers: dict[type, tuple[Handler, ...]] = {}

    def _open(self, begin: Begin) -> None:
        self._begin = begin
        figures, self._findings = Figures(begin), Findings()
        tries = self._tries = Tries(figures)
        answers = self._answers = Answers(figures, tries, self._findings)
        repeats = self._repeats = Repeats(figures, tries, self._findings)
        drains, cold = Drains(figures, self._findings), ColdStarts(begin, tries, self._findings)
        service = self._service = Services(begin, figures, self._on_wish)
        costs = self._costs = Costs(tries)
        # Tries come first: the rules see what a record adds. An answer's cost comes before the answer.
        self._handlers = {
            NodeUp: (cold.node_up, costs.node_up),
            NodeWarmth: (cold.node_warmth,),
            NodeState: (cold.node_state,),
            SchedulerState: (answers.scheduler_state, drains.scheduler_state, costs.scheduler_state),
            Told: (drains.told, cold.told),
            Asked: (tries.asked, answers.asked, service.asked),
            Unreached: (service.unreached,),
            Answered: (costs.answered, service.answered, repeats.answered, answers.answered),
            ConnectionLost: (answers.connection_lost,),
            GivenUp: (answers.given_up,),
            Sent: (tries.sent, answers.sent, repeats.sent, drains.sent),
            Arrived: (tries.arrived, repeats.arrived, cold.arrived, costs.arrived),
            TurnedAway: (tries.ended,),
            Started: (tries.started,),
            Done: (tries.ended, costs.ended),
            Broke: (tries.ended, costs.ended),
            LetGo: (tries.let_go,),
            ProbeSeen: (costs.probe,),
        }

    def take(self, record: AnyRecord) -> None:
        """Judge the next record; a `LogError` names one that cannot stand there."""
        place = self._count
        if self._begin is None:
            if not isinstance(record, Begin):
                raise LogError(f"record 0: what: found {type(record).__name__}, expected Begin")
            self._open(record)
        elif self._end is not None or isinstance(record, Begin):
            raise LogError(f"record {place}: what: found {type(record).__name__}, expected one between the "
                           "first Begin and the first End")
        elif record.at < self._now:
            raise LogError(f"record {place}: at: found {record.at:g} after {self._now:g}, expected times "
                           "that do not fall")
        self._count += 1
        self._hash.update(encode_line(record))
        if record.at > self._now:
            self._now = record.at
            self._answers.advance(record.at, place)
            self._repeats.advance(record.at, place)
            self._service.advance(record.at, place)
            self._tries.forget(record.at)
        for handler in self._handlers.get(type(record), ()):
            handler(place, record)
        if isinstance(record, End):
            self._end = record
            for part in (self._answers, self._repeats, self._service):
                part.advance(record.at, place, last=True)

    def verdict(self) -> Verdict:
        """What is to be said of the run; one that lacks its end, or is void, is not judged by the rules."""
        if (begin := self._begin) is None:
            raise LogError("record 0: what: found nothing, expected Begin")
        void = "the log lacks its end" if self._end is None else self._end.void
        if self._end is None:
            self._service.advance(self._now, self._count, last=True)
        service = self._service
        return Verdict(
            begin.scenario, begin.seed, begin.engine, begin.chooser, service.summary(),
            () if void else self._findings.kept(),
            self._costs.summary(service.count, service.asked_work),
            self._hash.hexdigest(), self._count, void, broken={} if void else dict(self._findings.counts),
        )


def judge(records: Iterable[AnyRecord]) -> Verdict:
    """The verdict on a whole log; a `LogError` if it cannot be judged."""
    court = Judge()
    for record in records:
        court.take(record)
    return court.verdict()


def judge_file(path: str | Path, each: Callable[[AnyRecord], None] | None = None,
               on_wish: Callable[[Wish], None] | None = None) -> Verdict:
    """The verdict on a log's file, read line by line; `each` sees every record too.

    A `LogError` names file and line of what cannot be read or judged.
    """
    court, number = Judge(on_wish), 1
    decoder: msgspec.json.Decoder[AnyRecord] = msgspec.json.Decoder(AnyRecord)
    try:
        with open(path, "rb") as lines:
            for line in lines:
                record = decoder.decode(line)
                court.take(record)
                if each:
                    each(record)
                number += 1
        return court.verdict()
    except OSError as error:
        raise LogError(f"{path}: cannot be read: {error.strerror}") from error
    except msgspec.MsgspecError as error:
        raise LogError(f"{path}: line {number}: {error}") from error
    except LogError as error:
        raise LogError(f"{path}: {error}") from error
