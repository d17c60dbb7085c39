"""The protocol of membership: `step(state, now, message) -> effects`.

Rules. All that a member believes lies in its `State`, and only `step` changes it. `step` does no I/O, reads
no clock and draws only from the generator in the state: the same messages at the same times give the same
effects. It must not be called while it runs.

Theory of operation. Each member keeps a table of all. Who is there is found out by probes, and what is
found out spreads by gossip, so that each member's work does not grow with the group.

1. Probes (`probing`). In each period a member pings one other, in a random order that it goes through to
   its end [SWIM 4.3]. Without an answer it asks three others to ping for it; without an answer to them it
   suspects.
2. Suspicion (`judging`). A suspect that lives hears of it and objects with a higher incarnation, which only
   it may give itself. Whom nobody heard object in time is dead. The time is long for a lone accuser and
   shrinks with each other member that says the same [Lifeguard: dogpile]; a suspect hears of it in the very
   probe [buddy]; and a member that fails to hear what it should takes more time for its own probes [local
   health].
3. Gossip (`gossip`). Updates ride on all datagrams and, while there are any, on some of their own. Each is
   sent on about 4 log10 n times by each member, which reaches all with high probability [SWIM 4.1].
4. Tables (`meeting`). Now and then two members compare all they know over a stream; so does who joins, and
   who looks for members and seeds that are gone. That mends what gossip missed, and splits of any length. A
   member that speaks to us and is not in our table is asked for its table at once.

What differs from the models, and why.

- *Our own clock* (`state.Clock`). A timer that rings late proves that this process was stopped (a full
  machine, SIGSTOP, a suspended guest): the silence it saw is its own. So time in which it was stopped is
  taken out of all its timers, answers that wait in its socket are read first, and its health counts as
  worse. Lifeguard only learns of this by probes that fail. Also a clock that jumps ahead does no harm.
- *Sessions*. Each life of a process has a random number. Datagrams name the one they are meant for, so that
  none of an earlier life counts; a member that gets one for its earlier life says so and the sender comes
  with its table. A member that came back with nothing so learns its old incarnation and rises above it.
- *Namesakes* (`judging`). memberlist holds to the first address and warns. Here a member that hears its own
  name from elsewhere asks there: if somebody answers, the one with the lower record takes another name,
  else it objects. Both are then seen and counted.
- *Forgetting*. A gone member is remembered for longer than the worst cut-off member could go on believing
  in it (`rules.tombstone_keep_ms`); a member that was stopped for half of that forgets all and joins anew.
  Tombstones in tables keep their age, so that two members do not renew them for each other for ever.
- *Small groups*. memberlist drops the dogpile rule below five members; here they wait for as many voices as
  there can be.

Rejected: phi accrual (needs heartbeats of all to all, n squared datagrams), heartbeats by gossip (detection
time grows as the gossip slows down, and no one can object), a registry or Raft (a leader to run and to
lose); see docs/membership.md. Left open: metadata is spread like every other update, so load digests of a
thousand members are a minute old.
"""

from __future__ import annotations

from collections.abc import Callable

from flintfield.membership import judging, meeting, probing, ways
from flintfield.membership.messages import (
    Ack, Alive, Ask, Astray, Begin, Dead, Effect, ExchangeFailed, Heard, Input, KeysSet, LeaveAsked, Left,
    MetaSet, Nack, Part, Ping, ReplyExchange, Row, SessionSet, Status, Survey, Suspect, TableAsked, TableTold,
    Way, Woke,
)
from flintfield.membership.state import State, Turn

TIMERS: dict[str, Callable[[Turn, object], None]] = {
    "period": probing.period_due, "timeout": probing.timeout_due, "relay": probing.relay_due,
    "suspicion": judging.suspicion_due, "nudge": judging.nudge_due,
    "retell": judging.retell_due, "namesake": judging.namesake_due,
    "join": meeting.join_due, "exchange": meeting.exchange_due, "reconnect": meeting.reconnect_due,
    "forget": meeting.forget_due, "former": meeting.former_due, "meta": meeting.meta_due,
    "left": meeting.left_due, "check": probing.check_due,
    "ways": ways.ways_due, "look": ways.look_due, "survey": ways.survey_due, "rerow": ways.rerow_due,
}


def step(state: State, now: float, message: Input) -> list[Effect]:
    """Take one message in, at this time in ms, and return the effects it calls for, in order."""
    stopped = state.clock.advance(now, state.timers.next_at(),
                                  state.rules.stall_ms if state.rules.own_clock else None)
    turn = Turn(state, state.clock.now)
    if stopped:
        _was_stopped(turn, stopped)
    _dispatch(turn, message)
    return turn.effects


def _dispatch(turn: Turn, message: Input) -> None:
    match message:
        case Woke():
            _woke(turn)
        case Heard():
            _heard(turn, message)
        case TableAsked():
            # Our table as it was before: what the other told is no news to it.
            turn.emit(ReplyExchange(message.token, turn.state.table.lines(turn.state.name, turn.now)))
            meeting.take_table(turn, message.table)
        case TableTold():
            meeting.take_table(turn, message.table)
        case ExchangeFailed():
            meeting.exchange_failed(turn, message.address, message.word)
        case MetaSet():
            meeting.set_meta(turn, message.meta)
        case KeysSet():
            meeting.set_keys(turn, message.keys)
        case SessionSet():
            meeting.set_session(turn, message.session)
        case Begin():
            _begin(turn)
        case LeaveAsked():
            meeting.leave(turn)


def _was_stopped(turn: Turn, ms: float) -> None:
    state = turn.state
    turn.count("stalls")
    if state.rules.health:
        state.health.note(1)
    if ms >= state.rules.tombstone_keep_ms(state.table.live) / 2:
        meeting.forget_all(turn, ms)


def _begin(turn: Turn) -> None:
    rules, rng = turn.state.rules, turn.state.rng
    judging.add_self(turn)
    # At a random place in their intervals: guards against members that all act at once.
    turn.after(rules.probe_ms * rng.random(), "period")
    turn.after(rules.exchange_ms * rng.uniform(0.5, 1.0), "exchange")
    turn.after(rules.reconnect_ms * rng.uniform(0.5, 1.0), "reconnect")
    meeting.begin_to_join(turn)


def _woke(turn: Turn) -> None:
    while due := turn.state.timers.pop_due(turn.now):
        what, about = due
        TIMERS[what](turn, about)


def _heard(turn: Turn, heard: Heard) -> None:
    own = turn.state.own
    if heard.to != own.record.session and heard.to not in own.former:
        if not (len(heard.parts) == 1 and isinstance(heard.parts[0], Astray)):
            meeting.went_astray(turn, heard.source, heard.sender)
        return
    entry = turn.state.table.of_session(heard.sender)
    turn.state.standing.heard_at = turn.now
    if entry is not None:
        entry.path.hear(turn.now)
        if turn.state.ways.shut:
            ways.hear_again(turn, entry)
        if entry.status is Status.DEAD:
            meeting.tell_of_death(turn, heard.source, entry)
    for part in heard.parts:
        _take(turn, heard, part)
    if entry is None and turn.state.table.of_session(heard.sender) is None:
        meeting.hear_unknown_member(turn, heard.source)


def _take(turn: Turn, heard: Heard, part: Part) -> None:
    match part:
        case Ping():
            probing.hear_ping(turn, heard.source, heard.sender, part)
        case Ack():
            probing.hear_ack(turn, heard.source, heard.sender, part)
        case Alive():
            # Guards a member that knows nothing yet, or has just forgotten all, against word of the dead.
            if turn.state.meeting.joined or turn.state.table.get(part.record.name):
                judging.hear_alive(turn, part.record)
        case Suspect():
            judging.hear_suspect(turn, part)
            judging.correct(turn, heard.source, heard.sender, part)
        case Dead():
            judging.hear_dead(turn, part)
            judging.correct(turn, heard.source, heard.sender, part)
            if part.name == turn.state.name and not turn.state.own.leaving:
                turn.send(heard.source, heard.sender, Alive(turn.state.own.record))  # not by chance alone
        case Left():
            judging.hear_left(turn, part)
        case Ask():
            probing.hear_ask(turn, heard.source, heard.sender, part)
        case Survey():
            ways.hear_survey(turn, part)
        case Row():
            ways.hear_row(turn, part)
        case Way():
            ways.hear_way(turn, heard.sender)
        case Nack():
            probing.hear_nack(turn, heard.source, heard.sender, part)
        case Astray():
            meeting.hear_astray(turn, heard.source, heard.sender)


def _gossip_due(turn: Turn, _: object) -> None:
    """Send updates to a few members, as long as there are any."""
    state, rules = turn.state, turn.state.rules
    state.gossiping = bool(len(state.gossip))
    if not state.gossiping:
        return
    targets = state.table.pick(rules.gossip_fanout, lambda e: e.record.name != state.name)
    if dead := state.table.pick_lately_dead(turn.now - rules.gossip_to_dead_ms):
        targets.append(dead)
    for target in targets:
        if len(state.gossip):
            turn.send(target.record.address, target.record.session)
    turn.after(rules.gossip_ms, "gossip")


TIMERS["gossip"] = _gossip_due
