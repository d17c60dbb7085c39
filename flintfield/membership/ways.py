"""Who hears whom: each member finds out whom it hears and tells it, so that anybody can ask "does A reach B".

Rules. A way is judged by its end: whether B hears A is B's word alone (`Row`), and nobody else's. Rows are
idempotent and versioned by their owner, a newer life takes the place of the older whole, and an old row
says nothing. What is not listed as shut in a fresh row is open.

Theory of operation. In a group without trouble nothing is sent. Who finds a way shut (its target answers a
helper and, asked three times more, not us) calls a *survey*: word of it goes round by gossip, and within a
second each member sends `WAYS` datagrams without an answer to each other one. Whose datagrams did not come,
though it is known to take part in surveys, is not heard: at loss p wrongly so with p^WAYS. The row of those
not heard is told by gossip. As long as a member does not hear somebody it calls a new survey now and then,
so that a heal is found as a cut was; whom it hears again it strikes from its row at once.

Bytes. A survey costs each of n members WAYS (n-1) (SEALING + 7) in datagrams and one row of at most ROW + 4
MOST_SHUT bytes sent on `transmits(n)` times; the pause between two surveys is so long that this is below
`SURVEY_BYTES_S`.

Rejected: each member probing all others all the time (n squared datagrams for ever); telling what one fails
to reach (a way has two ends, and only the far one knows); a matrix merged by everyone (who is wrong is
wrong for all); answers to the datagrams of a survey (they tell of two ways at once, and so of neither).
"""

from __future__ import annotations

import math

from flintfield.membership.messages import MOST_SHUT, Row, Survey, Way, size_of
from flintfield.membership.rows import Told
from flintfield.membership.rules import SEALING
from flintfield.membership.state import State, Turn
from flintfield.membership.table import Entry

WAYS = 4  # datagrams to each other member in a survey: all are lost with 0.0016 at 20 % loss
SURVEY_PERIODS = 30.0  # between two surveys, at the least
MOST_QUIET = 2  # doublings of that pause, one for each survey that brought us no news
SURVEY_BYTES_S = 300.0  # what surveys may cost a member in the mean
OLD_PERIODS = 120.0  # a row says nothing after so long


def identity(session: int) -> int:
    """What a row calls a life of a member: 32 bits of its session."""
    return session & 0xFFFFFFFF


def pause_ms(turn: Turn) -> float:
    """The least time between two surveys."""
    n = max(2, turn.state.table.live)
    cost = WAYS * (n - 1) * (SEALING + size_of(Way(0)))
    return max(SURVEY_PERIODS * turn.state.rules.probe_ms, cost / SURVEY_BYTES_S * 1000.0)


def around_ms(turn: Turn) -> float:
    """How long gossip takes to come round, about: it doubles those who know in each tick [SWIM 4.1]."""
    return turn.state.rules.gossip_ms * (1.0 + math.log2(max(2, turn.state.table.live)))


def step_ms(turn: Turn) -> float:
    """Between two datagrams of a survey to one member. Guards against members that hear of it at other times:
    the last datagram of who began first comes after the last one began."""
    return max(0.5 * turn.state.rules.probe_ms, 0.6 * around_ms(turn))


def settled_ms(turn: Turn) -> float:
    """From our begin until we conclude whom we hear."""
    return WAYS * step_ms(turn) + max(turn.state.rules.probe_ms, around_ms(turn))


def call_survey(turn: Turn) -> None:
    """A way is shut: find out about all."""
    ways = turn.state.ways
    ways.wanted = turn.now - ways.began < pause_ms(turn)  # too soon: at the pause's end
    if not ways.wanted:
        turn.count("surveys.called")
        _take_part(turn, turn.number())


def hear_survey(turn: Turn, survey: Survey) -> None:
    """Somebody found a way shut.

    Who calls keeps the pause; who is called takes part unless it is in the midst of another. Guards against a
    member that holds its own pause, sends nothing and is taken for one that is not heard.
    """
    ways = turn.state.ways
    if survey.number in ways.same:
        return
    ways.same.append(survey.number)  # called while we take part in another, it is that one, and stays so
    if turn.now - ways.began >= WAYS * step_ms(turn):
        _take_part(turn, survey.number)


def _take_part(turn: Turn, number: int) -> None:
    ways = turn.state.ways
    ways.number, ways.began = number, turn.now
    ways.same.append(number)
    turn.tell(" survey", Survey(number))
    step = step_ms(turn)
    start = step * turn.state.rng.random()
    for k in range(WAYS):
        turn.after(start + k * step, "ways", number)
    turn.after(settled_ms(turn), "look", number)
    turn.after(pause_ms(turn), "survey", number)


def ways_due(turn: Turn, about: object) -> None:
    """Let all others hear us."""
    state = turn.state
    if about != state.ways.number or state.own.leaving:
        return
    for entry in state.table.entries.values():
        if entry.live and entry.record.name != state.name:
            turn.send(entry.record.address, entry.record.session, Way(state.ways.number))


def survey_due(turn: Turn, about: object) -> None:
    """As long as somebody is not heard, look again, ever more rarely while it brings no news."""
    ways = turn.state.ways
    if about != ways.number or turn.state.own.leaving:
        return
    if ways.wanted:
        call_survey(turn)
    elif ways.shut:
        left = ways.began + pause_ms(turn) * 2.0 ** ways.quiet - turn.now
        if left > 0:
            turn.after(left, "survey", about)
        else:
            call_survey(turn)


def hear_way(turn: Turn, sender: int) -> None:
    """A datagram of a survey: that it came is all that it says."""
    turn.state.ways.takes_part.add(sender)


def look_due(turn: Turn, about: object) -> None:
    """Conclude whom we hear, and tell it if it is news."""
    state, ways = turn.state, turn.state.ways
    if about is not None and about != ways.number:
        return
    shut = frozenset(
        e.record.name for e in state.table.entries.values() if e.live and e.record.name != state.name
        and e.path.heard_at < ways.began and e.record.session in ways.takes_part)
    news = shut != ways.shut or turn.now - ways.told_at > OLD_PERIODS / 3 * state.rules.probe_ms
    if ways.looked_at < ways.began:
        ways.quiet = 0 if news else min(MOST_QUIET, ways.quiet + 1)
    ways.shut, ways.looked_at = shut, turn.now
    if news:
        _tell_row(turn)


def hear_again(turn: Turn, entry: Entry) -> None:
    """A datagram came from one whom we did not hear."""
    ways = turn.state.ways
    if entry.record.name in ways.shut:
        ways.shut -= {entry.record.name}
        _tell_row(turn)
        # Guards against one that misses the news and goes on holding the way for shut.
        turn.after(2.0 * around_ms(turn), "rerow", ways.version)


def rerow_due(turn: Turn, about: object) -> None:
    """Tell our row a second time, if it is still the newest."""
    if about == turn.state.ways.version:
        _tell_row(turn)


def _tell_row(turn: Turn) -> None:
    state, ways = turn.state, turn.state.ways
    ways.version, ways.told_at = ways.version + 1, turn.now
    entries = (state.table.entries[name] for name in sorted(ways.shut) if name in state.table.entries)
    ids = tuple(identity(e.record.session) for e in entries)
    more = max(0, len(ids) - MOST_SHUT)
    row = Row(state.name, state.own.record.session, ways.version, ids[:MOST_SHUT], more)
    turn.tell(" row " + state.name, row)


def hear_row(turn: Turn, row: Row) -> None:
    """A member's own word on whom it hears; an older one changes nothing."""
    state, ways = turn.state, turn.state.ways
    entry = state.table.get(row.name)
    if entry is None or row.name == state.name or entry.record.session != row.session:
        return
    ways.takes_part.add(row.session)
    known = ways.rows.get(row.name)
    if known and known.row.session == row.session and known.row.version >= row.version:
        return
    ways.rows[row.name] = Told(row, turn.now)
    turn.tell(" row " + row.name, row)
    if turn.now - ways.began > settled_ms(turn):
        turn.after(turn.state.rules.probe_ms, "look", ways.number)  # it may have been unknown before


def prune(turn: Turn) -> None:
    """Forget rows of who is not known any more; bounds what is kept by the table."""
    state, ways = turn.state, turn.state.ways
    if len(ways.rows) > len(state.table) or len(ways.takes_part) > 2 * len(state.table) + 8:
        ways.rows = {n: t for n, t in ways.rows.items() if n in state.table.entries}
        ways.takes_part &= state.table.sessions.keys()


def reaches(state: State, one: str, other: str) -> tuple[bool | None, float | None]:
    """Whether what `one` sends comes to `other`, and how old (ms) the word is on which that rests.

    (None, None) where nobody told of late, or one of them is not there. In a group where no survey was called
    nobody ever found a way shut: that is no word either.
    """
    now = state.clock.now
    sender, hearer = state.table.get(one), state.table.get(other)
    if sender is None or hearer is None or not sender.live or not hearer.live or one == other:
        return None, None
    ways = state.ways
    if other == state.name:
        if ways.looked_at == float("-inf"):
            return None, None
        if one in ways.shut:
            return False, now - ways.looked_at
        return True, min(now - ways.looked_at, now - sender.path.heard_at)
    told = ways.rows.get(other)
    if (told is None or told.row.session != hearer.record.session
            or now - told.at > OLD_PERIODS * state.rules.probe_ms):
        return None, None
    if identity(sender.record.session) in told.row.shut:
        return False, now - told.at
    return (None, None) if told.row.more else (True, now - told.at)
