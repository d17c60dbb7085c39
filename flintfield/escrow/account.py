"""One life's account of units: what it has, what it gave and took, and what it has bound.

Rules:

1. A life is an account, not a process: who has its row (on disk) goes on as it; who has nothing begins a new
   life, above all earlier ones of its place.
2. A unit has one holder. It moves by a total that only grows, of one pair of lives: the giver counts it as
   gone before the word leaves, the taker takes the difference to what it took before. So words may be lost,
   late, doubled or out of order.
3. No clock makes units free. What is bound comes back by `release` alone, and who calls that has seen why.
4. A new life has nothing until every other place has told what it had with the lives before (`Net`) and has,
   by the same step, closed the books with them: no word of a former life is heeded from there on. Nor before
   it is sealed: its owner has seen that no former life can do anything more (`maintenance/executor.py`).

Theory of operation. Escrow (O'Neil 1986, "The escrow transactional method") and bounded counters (Balegas et
al. 2015): a bound on a sum is split into rights, and rights are moved. Those keep a matrix of transfers that
is merged by all and outlives its owner; here a pair of places knows what passed between the two, so that one
that comes back with nothing asks the others. With `net(p, q)` what p gave to q less what it took, over all
lives as p counts them, place q owns `part(q) + sum of net(p, q)`. It may be that both of a pair have
forgotten. Once both are sealed and know all else, each tells what it lacks for what it has bound and given on
(`Even`): the other must have given that, so that is what they go on from; 0 where neither lacks anything. If
three have forgotten each other and one lacks something, they wait until its nodes are back. (To take 0 at
once was a fault that a drawn history found: what the one had bound was used again by the other.)

What differs from `flintfield/sharing/`: there a lent right ends by a clock, for its holder stops by that
clock. A worker node that is out doesn't.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, MutableMapping
from dataclasses import dataclass, field

from flintfield.escrow.words import AskNet, Even, Give, Line, Net, Took, Want
from flintfield.sharing.limits import Limit

Units = dict[str, int]
"""Units by the name of their pool; a pool that is not named has 0."""


@dataclass(frozen=True, slots=True)
class Pool:
    """So many units in all, over all places."""

    name: str
    units: int


def part_of(pool: Pool, place: int, places: int) -> int:
    """What that place of so many is given at the very start; all parts add up to the pool (`Limit.part`)."""
    return Limit(pool.name, pool.units).part(place, places)


def plus(one: Mapping[str, int], other: Mapping[str, int], times: int = 1) -> Units:
    """The sum by pool."""
    found = dict(one)
    for name, n in other.items():
        found[name] = found.get(name, 0) + times * n
    return found


@dataclass(slots=True)
class Pair:
    """What passed between this life and the present life of another place, and what passed before."""

    life: int = 0  # the other's; 0: never heard of
    had: Units | None = None  # ours from it, net, in all lives before this pair's; None: forgotten
    forgot: bool = False  # it has forgotten that as well
    lacks: Units | None = None  # what we said that we lack, once it was said
    given: Units = field(default_factory=dict)  # to that life, in all
    taken: Units = field(default_factory=dict)  # from it
    told: Units = field(default_factory=dict)  # what it says that it took

    def net(self) -> Units:
        """Ours from it in all; nothing where that is forgotten."""
        return plus(plus(self.had or {}, self.taken), self.given, -1)


class Account:
    """The account of one life of one place."""

    def __init__(self, place: int, places: int, life: int, pools: Iterable[Pool],
                 counters: MutableMapping[str, int]) -> None:
        """A life with nothing. `sealed` is set by the owner once no former life of the place can act."""
        self.place, self.places, self.life, self.counters = place, places, life, counters
        self.pools = {pool.name: pool for pool in pools}
        self.pairs = {p: Pair() for p in range(places) if p != place}
        self.sealed = places == 1
        self.bound: dict[str, Units] = {}  # by what it is bound to
        self.reserve: Units = {}  # what is neither bound nor given, set by the owner: it may be in use unseen
        self.wants: dict[int, tuple[Want, float]] = {}  # the others' wishes, and when they were told

    # ------------------------------------------------------------ what there is

    @property
    def whole(self) -> bool:
        """All that former lives had is known, and none can act: the account may be used."""
        return self.sealed and all(pair.had is not None for pair in self.pairs.values())

    @property
    def _alone(self) -> bool:
        return sum(p.had is None for p in self.pairs.values()) == 1

    def _lacks(self, pair: Pair) -> Units | None:
        """What we lack for what is bound and given on, by all that is known, as it was when first said; None
        while more is still to be told, or that place may know."""
        if not self.sealed or not pair.forgot or any(
                p.had is None and not p.forgot for p in self.pairs.values()):
            return None
        if pair.lacks is None or not self._alone:  # where three have forgotten, nodes that are back change it
            missing = {pool.name: sum(units.get(pool.name, 0) for units in self.bound.values())
                       - self._known(pool) for pool in self.pools.values()}
            pair.lacks = {name: n for name, n in missing.items() if n > 0}
        return pair.lacks

    def _known(self, pool: Pool) -> int:
        return part_of(pool, self.place, self.places) + sum(
            pair.net().get(pool.name, 0) for pair in self.pairs.values())

    def owned(self, name: str) -> int:
        """Units of that pool that are here, bound ones too; 0 until the account is whole."""
        pool = self.pools.get(name)
        if pool is None or not self.whole:
            return 0
        return self._known(pool)

    def free(self, name: str) -> int:
        """Units that may be bound or given."""
        return max(0, self.owned(name) - self.reserve.get(name, 0) - sum(
            units.get(name, 0) for units in self.bound.values()))

    def lacking(self, units: Mapping[str, int]) -> Units:
        """What of these is missing here; nothing where all could be bound."""
        return {name: n - self.free(name) for name, n in units.items() if n > self.free(name)}

    # ------------------------------------------------------------ binding

    def bind(self, to: str, units: Mapping[str, int]) -> bool:
        """Bind these units, all or none; False if they are not free here. Doing it twice binds once."""
        if to in self.bound:
            return True
        if self.lacking(units):
            return False
        self.bound[to] = dict(units)
        return True

    def hold(self, to: str, units: Mapping[str, int]) -> None:
        """Bind what a former life had bound, whether or not it looks free here: it is out already."""
        self.bound.setdefault(to, dict(units))

    def release(self, to: str) -> None:
        """What was bound to that is free; whoever calls this has seen that it is over."""
        self.bound.pop(to, None)

    # ------------------------------------------------------------ words

    def meet(self, place: int, life: int) -> bool:
        """A word of that life has come; False: of a former one, which is not to be heeded.

        Until we are sealed, a new life of another place is asked anew: it may have settled its books with a
        former life of ours meanwhile, and what its own former life told us is worth nothing then.
        """
        pair = self.pairs[place]
        if life < pair.life:
            return False
        if life > pair.life:
            # The books with its former life are closed here and now: nothing of it is taken any more.
            pair.had = pair.net() if pair.had is not None and self.sealed else None
            pair.life, pair.given, pair.taken, pair.told = life, {}, {}, {}
            pair.forgot, pair.lacks = False, None
            self.wants.pop(place, None)
        return True

    def hear(self, now: float, place: int, line: Line, is_ours: bool) -> list[Line]:
        """A line of a life that `meet` let in; `is_ours`: it is for this life of ours. What to say at
        once."""
        pair = self.pairs[place]
        match line:
            case AskNet():
                if pair.had is None:
                    pair.forgot = pair.forgot or is_ours
                    return [] if is_ours else [AskNet()]  # it doesn't know us yet, or asked a former life
                # What was before this pair of lives; what passes within it is told by Give and Took.
                return [Net({name: -n for name, n in pair.had.items()})]
            case Net() if is_ours and pair.had is None:
                pair.had = dict(line.had)
            case Even() if is_ours and pair.had is None:
                lacks = self._lacks(pair)
                if lacks is not None and ((line.alone and self._alone) or not (lacks or line.lacks)):
                    pair.had = plus(lacks, line.lacks, -1)
            case Give() if is_ours and pair.had is not None:
                for name, total in line.total.items():
                    if name in self.pools and total > pair.taken.get(name, 0):
                        if total > self.pools[name].units * 1_000_000:
                            self.counters["nonsense"] += 1
                            continue
                        pair.taken[name] = total
                        self.counters["taken"] += 1
                return [Took(dict(pair.taken))]
            case Took() if is_ours:
                pair.told = {n: max(t, pair.told.get(n, 0)) for n, t in line.total.items()}
            case Want() if is_ours:
                self.wants[place] = (line, now)
            case Want() | Took() | Give() | Net() | Even():
                self.counters["not_ours"] += 1
        return []

    def give(self, place: int, units: Mapping[str, int]) -> None:
        """Give these away; they are gone here from now on. Units that are not free are not given."""
        pair = self.pairs[place]
        if pair.had is None or not pair.life:
            return
        for name, n in units.items():
            less = min(n, self.free(name))
            if less > 0:
                pair.given[name] = pair.given.get(name, 0) + less
                self.counters["given"] += 1

    def lines_for(self, place: int, want: Want | None = None) -> list[Line]:
        """What that place has to be told until it has answered."""
        pair = self.pairs[place]
        if pair.had is None:
            lacks = self._lacks(pair)
            return [AskNet()] if lacks is None else [AskNet(), Even(lacks, self._alone)]
        lines: list[Line] = []
        if any(total > pair.told.get(name, 0) for name, total in pair.given.items()):
            lines.append(Give(dict(pair.given)))
        if want is not None:
            lines.append(want)
        return lines

    def answer_wants(self, now: float, own: Want | None, fresh_ms: float = 5_000.0) -> list[int]:
        """Give to those that want, the one of least rank first; what we want ourselves more stays here.

        Returns the places that were given something.
        """
        if not self.whole:
            return []
        given = []
        for place, (want, at) in sorted(self.wants.items(), key=lambda w: (w[1][0].rank, w[0])):
            if now - at > fresh_ms:
                del self.wants[place]
                continue
            needed = own.units if own and (own.rank, self.place) < (want.rank, place) else {}
            may = {name: min(n, self.free(name)) for name, n in want.units.items()
                   if name in self.pools and name not in needed}  # what we miss ourselves stays whole here
            if any(n > 0 for n in may.values()):
                self.give(place, may)
                given.append(place)
            del self.wants[place]
        return given
