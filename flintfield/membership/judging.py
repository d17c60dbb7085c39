"""What an update does to what is believed of a member, oneself included.

One table rules it: of a member that is known with a status, word of another status is taken if its
incarnation is by at least so much above the one known.

    known      alive  suspect  dead  left   <- heard
    alive        1       0      0     0
    suspect      1       1      0     0
    dead         1       -      -     0
    left         1       -      -     -

Alive word of the incarnation that is known may still bring a newer record. Word of oneself that is not true
is objected to: our incarnation rises above it, which nobody else can do [SWIM 4.2].
"""

from __future__ import annotations

from msgspec.structs import replace

from flintfield.membership.messages import (
    Address, Alive, Changed, Dead, Left, Ping, Record, Renamed, Status, Suspect, Updated,
)
from flintfield.membership.rules import MOST_NAME
from flintfield.membership.state import Namesake, Turn
from flintfield.membership.table import Entry, Suspicion

ALIVE, SUSPECT, DEAD, LEFT = Status.ALIVE, Status.SUSPECT, Status.DEAD, Status.LEFT
NEEDS: dict[tuple[Status, Status], int] = {
    (ALIVE, ALIVE): 1, (ALIVE, SUSPECT): 0, (ALIVE, DEAD): 0, (ALIVE, LEFT): 0,
    (SUSPECT, ALIVE): 1, (SUSPECT, SUSPECT): 1, (SUSPECT, DEAD): 0, (SUSPECT, LEFT): 0,
    (DEAD, ALIVE): 1, (DEAD, LEFT): 0,
    (LEFT, ALIVE): 1,
}
NUDGE = 2.0  # periods after a suspicion began: an objection has gone round by then
LAST_WORD = 0.3  # of a period, before a death is concluded: a round trip, and a little
NAMESAKE_TRIES = 3  # probes of a namesake without an answer, until it counts as a former life of ours


def takes(entry: Entry, heard: Status, incarnation: int) -> bool:
    """Whether word of this status and incarnation changes what is believed."""
    least = NEEDS.get((entry.status, heard))
    return least is not None and incarnation - entry.incarnation >= least


# ---------------------------------------------------------------------- alive


def hear_alive(turn: Turn, record: Record, reason: str = "told by gossip") -> None:
    """A record, from its owner or passed on."""
    table = turn.state.table
    if record.name == turn.state.name:
        _hear_of_own_name(turn, record)
        return
    entry = table.get(record.name)
    if entry is None:
        entry = Entry(record, record.incarnation, ALIVE, turn.now, reason)
        if not table.add(entry):
            turn.count("table_full")
            return
        turn.emit(Changed(record, None, ALIVE, reason))
        turn.count("changes.alive")
    elif takes(entry, ALIVE, record.incarnation):
        entry.incarnation = record.incarnation
        table.set_record(entry, record)
        entry.path.life_at = turn.now
        if entry.status is ALIVE:
            turn.emit(Updated(record))
        else:
            if entry.status is DEAD and turn.state.rules.witness:
                # Guards against one that missed all news of the return: they are told a second time.
                turn.after(turn.state.rules.probe_ms, "retell", entry)
            turn.believe(entry, ALIVE, "it objected" if entry.status is SUSPECT else "it came back")
    elif entry.live and record.incarnation == entry.incarnation and record.rank > entry.record.rank:
        table.set_record(entry, record)
        turn.emit(Updated(record))
    else:
        return
    turn.tell(record.name, Alive(record))


def retell_due(turn: Turn, about: object) -> None:
    """A member came back a while ago: say so once more."""
    assert isinstance(about, Entry)
    if about.status is ALIVE:
        turn.tell(about.record.name, Alive(about.record))


def object_to(turn: Turn, incarnation: int) -> None:
    """Raise our incarnation above what was said of us."""
    own = turn.state.own
    set_own_record(turn, replace(own.record, incarnation=max(incarnation, own.record.incarnation) + 1))
    turn.count("objections")


def set_own_record(turn: Turn, record: Record) -> None:
    """Be this from now on, and tell it."""
    state = turn.state
    entry = state.table.entries[state.name]
    state.own.record = record
    entry.incarnation = record.incarnation
    state.table.set_record(entry, record)
    if not state.own.leaving:
        turn.tell(record.name, Alive(record))


# ---------------------------------------------------------------------- suspect, dead, left


def hear_suspect(turn: Turn, heard: Suspect, reason: str = "") -> None:
    """Somebody, perhaps ourselves, had no answer from a member."""
    if heard.name == turn.state.name:
        if heard.incarnation >= turn.state.own.record.incarnation and not turn.state.own.leaving:
            object_to(turn, heard.incarnation)
            if turn.state.rules.health:
                turn.state.health.note(1)  # [LG IV-A] others see us fail
        return
    if (entry := turn.state.table.get(heard.name)) is None:
        return
    if takes(entry, SUSPECT, heard.incarnation):
        entry.incarnation = heard.incarnation
        turn.believe(entry, SUSPECT, reason or f"suspected by {heard.by}")
        n = turn.state.table.live
        entry.suspicion = Suspicion(turn.now, turn.now + turn.state.rules.suspicion_ms(n, 0), n, heard.by)
        turn.state.timers.set(entry.suspicion.ends, "suspicion", entry)
        if turn.state.rules.witness:
            turn.after(turn.state.rules.probe_ms * NUDGE, "nudge", entry)
        turn.tell(heard.name, heard)
    elif entry.suspicion and heard.incarnation == entry.incarnation:
        _confirm(turn, entry, entry.suspicion, heard)


def _confirm(turn: Turn, entry: Entry, suspicion: Suspicion, heard: Suspect) -> None:
    """[LG IV-B] Another voice: the time shrinks, and the first K voices are passed on."""
    rules = turn.state.rules
    if heard.by in suspicion.voices or suspicion.confirmed >= rules.confirmations_wanted(suspicion.n):
        return
    suspicion.voices.add(heard.by)
    suspicion.ends = suspicion.began + rules.suspicion_ms(suspicion.n, suspicion.confirmed)
    turn.state.timers.set(max(turn.now, suspicion.ends), "suspicion", entry)
    turn.tell(heard.name, heard)


def suspicion_due(turn: Turn, about: object) -> None:
    """A suspicion's time may have run out; an earlier timer of it may have been overtaken."""
    assert isinstance(about, Entry)
    suspicion, state = about.suspicion, turn.state
    if suspicion is None or suspicion.ends > turn.now or state.table.get(about.record.name) is not about:
        return
    if state.rules.witness and not suspicion.asked:
        _ask_once_more(turn, about, suspicion)
        return
    if not state.standing.well:  # who can not be answered concludes nothing from silence
        suspicion.ends = turn.now + state.rules.suspicion_least_ms(state.table.live)
        state.timers.set(suspicion.ends, "suspicion", about)
        return
    took = (turn.now - suspicion.began) / 1000
    reason = f"no objection in {took:.1f} s to the word of {', '.join(sorted(suspicion.voices))}"
    turn.believe(about, DEAD, reason)
    turn.tell(about.record.name, Dead(about.record.name, about.incarnation, state.name))


def nudge_due(turn: Turn, about: object) -> None:
    """A suspicion has stood for a while: does nobody know better?"""
    assert isinstance(about, Entry)
    if about.suspicion and turn.now - about.suspicion.began >= turn.state.rules.probe_ms * (NUDGE - 0.1):
        _ask_about(turn, about)


def _ask_once_more(turn: Turn, entry: Entry, suspicion: Suspicion) -> None:
    """Before a death is concluded."""
    suspicion.asked = True
    suspicion.ends = turn.now + turn.state.rules.probe_ms * LAST_WORD
    turn.state.timers.set(suspicion.ends, "suspicion", entry)
    _ask_about(turn, entry)


def _ask_about(turn: Turn, entry: Entry) -> None:
    """Tell some others, and the suspect, what we hold of it.

    Guards against one that alone missed an objection: who knows of it answers (`correct`).
    """
    state = turn.state
    word = Suspect(entry.record.name, entry.incarnation, state.name)
    others = state.table.pick(2 * state.rules.helpers, lambda e: e is not entry and e.status is ALIVE
                              and e.record.name != state.name)
    for other in (entry, *others):
        turn.send(other.record.address, other.record.session, word)


def correct(turn: Turn, source: Address, sender: int, heard: Suspect | Dead) -> None:
    """An accusation that its member has answered: tell who passes it on what we know."""
    entry = turn.state.table.get(heard.name)
    if entry and turn.state.rules.witness and entry.status is ALIVE and entry.incarnation > heard.incarnation:
        turn.count("corrected")
        turn.send(source, sender, Alive(entry.record))


def hear_dead(turn: Turn, heard: Dead) -> None:
    """For another member a suspicion ran out."""
    if heard.name == turn.state.name:
        if heard.incarnation >= turn.state.own.record.incarnation and not turn.state.own.leaving:
            turn.count("held_for_dead")
            turn.note("held for dead", by=heard.by)
            object_to(turn, heard.incarnation)
        return
    entry = turn.state.table.get(heard.name)
    if entry and takes(entry, DEAD, heard.incarnation):
        entry.incarnation = heard.incarnation
        turn.believe(entry, DEAD, f"told by gossip: for {heard.by} its time ran out")
        turn.tell(heard.name, heard)


def hear_left(turn: Turn, heard: Left) -> None:
    """A member said that it leaves."""
    if heard.name == turn.state.name:
        if heard.incarnation >= turn.state.own.record.incarnation and not turn.state.own.leaving:
            object_to(turn, heard.incarnation)  # a former life of ours left
        return
    entry = turn.state.table.get(heard.name)
    if entry and takes(entry, LEFT, heard.incarnation):
        entry.incarnation = heard.incarnation
        turn.believe(entry, LEFT, "it said so")
        turn.tell(heard.name, heard)


# ---------------------------------------------------------------------- our own name


def _hear_of_own_name(turn: Turn, record: Record) -> None:
    """Our own words, those of a former life, or those of a living member that has our name."""
    own = turn.state.own
    if own.leaving or own.namesake:
        return
    if record.session == own.record.session or record.session in own.former:
        if record.rank > own.record.rank:
            object_to(turn, record.incarnation)
    elif record.address == own.record.address:
        hear_former_life(turn, record.incarnation)  # where we listen nobody else does
    elif record.rank > own.record.rank:
        own.namesake = Namesake(record, turn.number())
        _ask_namesake(turn, own.namesake)


def hear_former_life(turn: Turn, incarnation: int) -> None:
    """A life of ours that is over is still believed in, or its death: rise above it.

    Of one incarnation too: which session is the higher number is chance, and the dead need a higher
    incarnation.
    """
    if incarnation >= turn.state.own.record.incarnation:
        turn.count("former_lives")
        object_to(turn, incarnation)


def _ask_namesake(turn: Turn, namesake: Namesake) -> None:
    turn.send(namesake.record.address, namesake.record.session, Ping(namesake.number))
    turn.after(turn.state.rules.timeout_ms, "namesake", namesake)


def namesake_due(turn: Turn, about: object) -> None:
    """No answer in time from who has our name."""
    namesake = turn.state.own.namesake
    if namesake is None or namesake is not about:
        return
    if namesake.tries < NAMESAKE_TRIES:
        namesake.tries += 1
        _ask_namesake(turn, namesake)
        return
    turn.state.own.namesake = None
    hear_former_life(turn, namesake.record.incarnation)


def give_way(turn: Turn) -> None:
    """The namesake lives and its record is the higher one: we go on under another name.

    Guards against two members that object to each other for ever.
    """
    state = turn.state
    own, namesake = state.own, state.own.namesake
    assert namesake is not None
    own.namesake = None
    end = f"~{own.record.session & 0xFFFF:04x}"
    stem = own.first_name[:MOST_NAME - len(end)]
    state.table.remove(own.record.name)
    state.gossip.forget(own.record.name)
    own.record = replace(own.record, name=stem + end, incarnation=1, version=0)
    add_self(turn)
    turn.count("renamed")
    turn.emit(Renamed(own.record.name))
    turn.note("name taken by another member", at="{}:{}".format(*namesake.record.address),
              name=namesake.record.name, now_named=own.record.name)
    hear_alive(turn, namesake.record, "it has the name that was ours")


def add_self(turn: Turn) -> None:
    """Enter ourselves into the table and tell of it."""
    record = turn.state.own.record
    turn.state.table.add(Entry(record, record.incarnation, ALIVE, turn.now, "ourselves"))
    turn.tell(record.name, Alive(record))
