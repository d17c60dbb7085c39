"""How members find one another beyond gossip: joining, whole tables, looks for those that are gone, leaving.

Whole tables go both ways over a stream. Word of a death in a table is only a suspicion for who still
believes in the member: it can object before anything is concluded [ML: mergeState]. That lets two halves
that had given each other up grow together again.
"""

from __future__ import annotations

from msgspec.structs import replace

from flintfield.membership.judging import (
    hear_alive, hear_former_life, hear_left, hear_suspect, set_own_record,
)
from flintfield.membership.messages import (
    Address, Astray, Changed, Dead, Gone, Known, Left, OpenExchange, Status, Suspect,
)
from flintfield.membership.rules import FORMER_MS
from flintfield.membership.state import Turn
from flintfield.membership.table import Entry

ASTRAY_MS = 50.0  # at most one word in so long; guards against answering a flood of old datagrams
TRIES_A_TICK = 2.0  # looks at each gone member in one reconnect time, by all members together


# ---------------------------------------------------------------------- joining


def begin_to_join(turn: Turn) -> None:
    """Look for the group, unless there is nobody to ask: then we are the group."""
    meeting = turn.state.meeting
    meeting.joined = all(s == turn.state.own.record.address for s in meeting.seeds)
    meeting.tries = 0
    turn.after(0.0, "join")


def join_due(turn: Turn, _: object) -> None:
    """Ask some seeds, and try again later unless one answers."""
    state, meeting = turn.state, turn.state.meeting
    seeds = [s for s in meeting.seeds if s != state.own.record.address]
    if meeting.joined or state.own.leaving or not seeds:
        return
    if meeting.tries == 0:
        state.rng.shuffle(seeds)
        meeting.seeds = seeds
    asked = [seeds[(meeting.next_seed + i) % len(seeds)]
             for i in range(min(state.rules.join_at_once, len(seeds)))]
    meeting.next_seed += len(asked)
    for address in asked:
        open_exchange(turn, address)
    wait = min(state.rules.join_most_ms, state.rules.join_ms * 2.0 ** min(meeting.tries, 32))
    wait *= state.rng.uniform(0.5, 1.5)
    if meeting.tries:
        turn.note("no seed answers", tries=meeting.tries, next_s=round(wait / 1000, 1),
                  last=meeting.last_word)
    meeting.tries += 1
    turn.after(wait, "join")


def open_exchange(turn: Turn, address: Address) -> None:
    """Exchange tables with who listens there."""
    turn.count("exchanges.opened")
    turn.emit(OpenExchange(address, turn.state.table.lines(turn.state.name, turn.now)))


def exchange_failed(turn: Turn, address: Address, word: str) -> None:
    """Nobody there, or none that understands us."""
    turn.count("exchanges.failed")
    turn.state.meeting.last_word = "{}:{}: {}".format(*address, word)


def exchange_due(turn: Turn, _: object) -> None:
    """Exchange tables with a random member."""
    state = turn.state
    if state.own.leaving:
        return
    turn.after(state.rules.exchange_every_ms(state.table.live) * state.rng.uniform(0.8, 1.2), "exchange")
    for entry in state.table.pick(1, lambda e: e.record.name != state.name):
        open_exchange(turn, entry.record.address)


def reconnect_due(turn: Turn, _: object) -> None:
    """Look for one of those that died, and for seeds that are not here."""
    state, meeting = turn.state, turn.state.meeting
    if state.own.leaving:
        return
    turn.after(state.rules.reconnect_ms * state.rng.uniform(0.8, 1.2), "reconnect")
    here = {e.record.address for e in state.table.entries.values() if e.live}
    seeds = meeting.seeds if meeting.joined else ()  # until then they are asked in any case
    missed = {e.record.address for e in state.table.gone() if e.status is Status.DEAD}.union(seeds) - here
    if missed and state.rng.random() < TRIES_A_TICK * len(missed) / max(1, state.table.live - 1):
        meeting.next_gone += 1
        open_exchange(turn, sorted(missed)[meeting.next_gone % len(missed)])


def tell_of_death(turn: Turn, source: Address, entry: Entry) -> None:
    """One that we hold for dead speaks to us: tell it, so that it objects to us.

    Guards against one wrong view that lasts. News of a return are told so many times and no more; who missed
    all of them is alone with its belief, and the looks that all make together (`reconnect_due`) are rare.
    """
    meeting = turn.state.meeting
    if turn.now - meeting.told_of_death_at < ASTRAY_MS:
        return
    meeting.told_of_death_at = turn.now
    turn.count("dead_spoke")
    record = entry.record
    turn.send(source, record.session, Dead(record.name, entry.incarnation, turn.state.name))


# ---------------------------------------------------------------------- whole tables


def take_table(turn: Turn, table: tuple[Known, ...]) -> None:
    """Another member's table; its first line is its own."""
    if not table:
        return
    by = table[0].record.name
    for line in table:
        _take_line(turn, line, by)
    meeting = turn.state.meeting
    if not meeting.joined and by != turn.state.name:
        meeting.joined = True
        turn.note("joined", members=turn.state.table.live, through=by)


def _take_line(turn: Turn, line: Known, by: str) -> None:
    status, name = Status(line.status), line.record.name
    entry = turn.state.table.get(name)
    if name == turn.state.name:
        _take_own_line(turn, line, status, by)
    elif status is Status.ALIVE:
        hear_alive(turn, line.record, "it came itself" if name == by else f"in the table of {by}")
    elif entry is None and status >= Status.DEAD:
        _bury(turn, line, status, by)
    elif status is Status.LEFT:
        hear_left(turn, Left(name, line.incarnation))
    elif entry is None or entry.live:
        hear_alive(turn, line.record, f"in the table of {by}")
        hear_suspect(turn, Suspect(name, line.incarnation, by))


def _take_own_line(turn: Turn, line: Known, status: Status, by: str) -> None:
    own = turn.state.own.record
    if line.record.session == own.session:
        if status is not Status.ALIVE:
            hear_suspect(turn, Suspect(own.name, line.incarnation, by))
    elif status >= Status.DEAD and not turn.state.own.leaving:
        hear_former_life(turn, line.incarnation)
    else:
        hear_alive(turn, line.record)


def _bury(turn: Turn, line: Known, status: Status, by: str) -> None:
    """Remember one that was gone before we heard of it, for as long as the teller does and no longer."""
    keep_ms = min(line.keep_ms, turn.state.rules.tombstone_keep_ms(turn.state.table.live))
    entry = Entry(line.record, line.incarnation, status, turn.now, f"in the table of {by}")
    entry.keep_until = turn.now + keep_ms
    if keep_ms > 0 and turn.state.table.add(entry):
        turn.after(keep_ms, "forget", entry)
        turn.emit(Changed(line.record, None, status, entry.reason))


def forget_due(turn: Turn, about: object) -> None:
    """A gone member need not be remembered any more, unless it came back meanwhile."""
    assert isinstance(about, Entry)
    name = about.record.name
    if turn.state.table.get(name) is about and not about.live and about.keep_until <= turn.now:
        turn.state.table.remove(name)
        turn.state.gossip.forget(name)
        turn.emit(Changed(about.record, about.status, None, "its time is over"))


def forget_all(turn: Turn, slept_ms: float) -> None:
    """We were stopped for so long that what we know may be wrong: join anew.

    Guards against bringing back members that the others have long forgotten.
    """
    state = turn.state
    addresses = {e.record.address for e in state.table.entries.values() if e.live}
    addresses.discard(state.own.record.address)
    turn.note("stopped for too long, joining anew", stopped_s=round(slept_ms / 1000))
    for name in [n for n in state.table.entries if n != state.name]:
        state.gossip.forget(name)
        entry = state.table.entries[name]
        state.table.remove(name)
        turn.emit(Changed(entry.record, entry.status, None, "what we knew is too old"))
    state.probe = None
    meeting = state.meeting
    meeting.seeds = sorted({*meeting.seeds, *addresses})
    begin_to_join(turn)


# ---------------------------------------------------------------------- astray


def went_astray(turn: Turn, source: Address, sender: int) -> None:
    """A datagram for a former life of ours: say so."""
    turn.count("astray")
    meeting = turn.state.meeting
    if turn.now - meeting.last_astray >= ASTRAY_MS:
        meeting.last_astray = turn.now
        turn.send(source, sender, Astray())


def hear_astray(turn: Turn, source: Address, sender: int) -> None:
    """Who listens there lives anew, and does not know what is said of it."""
    state = turn.state
    known = state.table.of_session(sender)
    if known is None and turn.now - state.meeting.last_astray >= ASTRAY_MS:
        state.meeting.last_astray = turn.now
        open_exchange(turn, source)


def hear_unknown_member(turn: Turn, source: Address) -> None:
    """One that is not in our table speaks to us: exchange tables with it, once a probe period at the most.

    Members that join at the same time can miss one another: the news of each is sent on a few times and no
    more, and may all have gone out before we were known, or come while we had not joined. Without this, only
    the periodic exchange (`Rules.exchange_ms`) would tell us.
    """
    state, meeting = turn.state, turn.state.meeting
    if not meeting.joined or state.own.leaving:
        return
    if turn.now - meeting.unknown_asked_at < state.rules.probe_ms:
        return
    meeting.unknown_asked_at = turn.now
    turn.count("unknown_spoke")
    open_exchange(turn, source)


# ---------------------------------------------------------------------- ourselves


def set_meta(turn: Turn, meta: bytes) -> None:
    """Tell new metadata, now or when the last is old enough. Guards against news a hundred times a second."""
    own = turn.state.own
    waits, own.meta = own.meta is not None, meta
    if not waits:
        every_ms = turn.state.rules.meta_every_ms(turn.state.table.live)
        turn.after(max(0.0, own.meta_told + every_ms - turn.now), "meta")


def meta_due(turn: Turn, _: object) -> None:
    """Tell the newest metadata."""
    own = turn.state.own
    meta, own.meta, own.meta_told = own.meta, None, turn.now
    if meta is not None and meta != own.record.meta:
        set_own_record(turn, replace(own.record, meta=meta, version=own.record.version + 1))


def set_keys(turn: Turn, keys: tuple[int, ...]) -> None:
    """Tell which keys we understand."""
    record = turn.state.own.record
    if keys != record.keys:
        set_own_record(turn, replace(record, keys=keys, version=record.version + 1))


def set_session(turn: Turn, session: int) -> None:
    """Go on under a new session."""
    own = turn.state.own
    own.former[own.record.session] = turn.now + FORMER_MS
    turn.after(FORMER_MS, "former", own.record.session)
    set_own_record(turn, replace(own.record, session=session, incarnation=own.record.incarnation + 1))


def former_due(turn: Turn, about: object) -> None:
    """A session that was given up is not answered to any more."""
    assert isinstance(about, int)
    turn.state.own.former.pop(about, None)


def leave(turn: Turn) -> None:
    """Say that we leave, and be done once that has gone out a few times."""
    state = turn.state
    if state.own.leaving:
        return
    state.own.leaving = True
    entry = state.table.entries[state.name]
    alone = state.table.live <= 1
    state.table.set_status(entry, Status.LEFT, turn.now, "we said so")
    turn.tell(state.name, Left(state.name, entry.incarnation))
    turn.after(0.0 if alone else state.rules.gossip_ms * state.rules.leave_ticks, "left")


def left_due(turn: Turn, _: object) -> None:
    """Our leave is told."""
    turn.emit(Gone())
