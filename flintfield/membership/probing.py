"""Probes: one member after the other is asked whether it is there, by ourselves and then by others for us.

[SWIM 3.1, 4.3] A period: a ping to the next member of the round; without an answer by the time-out, `helpers`
others are asked to ping it; without an answer by the period's end it is suspected. [LG IV-A] Period and
time-out stretch with our own health, and helpers that get no answer say so.
"""

from __future__ import annotations

from flintfield.membership.judging import give_way, hear_suspect
from flintfield.membership.messages import (
    MOST_HEARD, Ack, Address, Ask, Dead, Nack, Part, Ping, Status, Suspect,
)
from flintfield.membership.rules import MOST_RELAYS
from flintfield.membership.standing import begin_probe, proof
from flintfield.membership.state import Check, Probe, Relay, Turn
from flintfield.membership.table import Entry
from flintfield.membership.ways import call_survey, prune, reaches

# So many others, and so many of those asked, have answered our asking before we suspect whom they asked.
WITNESSES, WITNESS_SHARE = 2, 1 / 4
# Pings to one that answered a helper and not us, the least time between two, and how many are asked so.
CHECKS, CHECK_MS, MOST_CHECKS = 3, 50.0, 64
PATIENCE = 2  # probes in a row, from which on one witness will do: most of the group may have died at once


def period_due(turn: Turn, _: object) -> None:
    """One period ends, the next begins."""
    state = turn.state
    if state.probe:
        _failed(turn, state.probe)
        state.probe = None
    if state.own.leaving:
        return
    turn.after(state.period_ms, "period")
    recheck(turn)
    prune(turn)
    if target := state.table.next_target(state.name):
        begin_probe(turn)
        state.probe = probe = Probe(turn.number(), target, target.record.session, turn.now)
        turn.count("probes.sent")
        lead: list[Part] = [Ping(probe.number)]
        if state.rules.buddy and target.status is Status.SUSPECT:
            lead.append(Suspect(target.record.name, target.incarnation, state.name))
        turn.send(target.record.address, target.record.session, *lead)
        if target.path.cut and (helper := state.table.get(target.path.via)) and helper.live:
            _ask(turn, probe, [helper])  # a way that is known to be shut is not waited for
        # A helper that is asked at once has time for its answer first.
        turn.after(_first_round_ms(turn, target) * (4 if probe.helpers else 1), "timeout", probe)


def _first_round_ms(turn: Turn, target: Entry) -> float:
    """How long a direct answer is waited for."""
    rules = turn.state.rules
    most = rules.timeout_ms * turn.state.period_ms / rules.probe_ms
    if not rules.witness:
        return most
    return target.path.timeout_ms(rules.timeout_ms * rules.learned_share, most)


def timeout_due(turn: Turn, about: object) -> None:
    """The probe has no answer so far: ask others, round by round, as long as the period lasts."""
    probe, state = turn.state.probe, turn.state
    if probe is None or probe is not about:
        return
    rules, target = state.rules, probe.entry
    if probe.rounds == 0:
        turn.count("probes.indirect")
        target.path.missed += 1
    probe.rounds += 1
    # Who may not judge asks one alone, for proof that it is heard.
    helpers = rules.helpers if state.standing.well else 1
    suited = [e for e in state.table.pick(helpers, lambda e: e is not target and e.status is Status.ALIVE
                                          and e.record.name not in probe.helpers
                                          and e.record.name != state.name)]
    if not suited and probe.rounds > 1:  # all were asked: once more those whose word may be lost
        suited = state.table.pick(helpers, lambda e: e is not target and e.status is Status.ALIVE
                                  and e.record.name != state.name and e.record.session not in probe.proofs)
    if (via := state.table.get(target.path.via)) and via.live and via not in suited:
        suited.append(via)
    if probe.rounds > 1:
        turn.send(target.record.address, probe.session, Ping(probe.number))
    _ask(turn, probe, suited)
    if probe.rounds < rules.rounds and state.standing.well:
        turn.after((state.period_ms - _first_round_ms(turn, target)) / rules.rounds, "timeout", probe)


def _ask(turn: Turn, probe: Probe, helpers: list[Entry]) -> None:
    """Have these probe the target in our place."""
    target, nack = probe.entry.record, turn.state.rules.health
    for helper in helpers:
        if nack and helper.record.name not in probe.helpers:
            probe.asked += 1
        probe.helpers.add(helper.record.name)
        turn.send(helper.record.address, helper.record.session,
                  Ask(probe.number, target.host, target.port, probe.session, nack))


def _failed(turn: Turn, probe: Probe) -> None:
    """No answer in the whole period."""
    state, entry = turn.state, probe.entry
    turn.count("probes.failed")
    if state.rules.health:
        # Without helpers our own fault can not be told from the target's: the plain rule counts.
        missing = probe.asked - probe.nacks
        if state.rules.witness:  # shut ways are no fault of ours: only if most are silent
            missing = int(2 * probe.nacks < probe.asked)
        state.health.note(missing if probe.asked else 1)
    if not entry.live or entry.record.session != probe.session:
        return  # it was declared dead meanwhile, or lives anew
    if state.rules.witness and not _may_suspect(turn, probe):
        return
    helped = f", nor through {probe.asked} others" if probe.asked else " to a probe"
    hear_suspect(turn, Suspect(entry.record.name, entry.incarnation, state.name), f"no answer{helped}")


def _may_suspect(turn: Turn, probe: Probe) -> bool:
    """Whether our own failure to reach a member tells anything of it.

    Guards the healthy against who is deaf or unheard: others must have answered our asking. And against a way
    that is shut: who objected to our last suspicion, and gave a sign of life since, is not suspected by us
    again, but by whom it answered before.
    """
    state, path = turn.state, probe.entry.path
    n = state.table.live
    path.unproven += 1
    wanted = max(WITNESSES, len(probe.helpers) * WITNESS_SHARE) if path.unproven < PATIENCE else 1
    if not state.standing.well or len(probe.proofs) < min(wanted, n - 2):
        turn.count("probes.unproven")
        return False
    if turn.now - path.heard_at < _fresh_ms(turn, probe):
        turn.count("probes.witnessed")  # by ourselves: it speaks, though it does not answer
        return False
    if path.refuted and turn.now - path.life_at < state.rules.suspicion_most_ms(n):
        turn.count("probes.shut")
        return False
    path.refuted += 1
    return True


def recheck(turn: Turn) -> None:
    """Ask one that we hold for dead whether it is, ever more rarely; it objects if it lives."""
    state, rules = turn.state, turn.state.rules
    if not rules.witness or not (entry := state.table.pick_lately_dead(float("-inf"))):
        return
    if turn.now - entry.since >= rules.probe_ms * rules.recheck_periods * (2.0 ** entry.rechecks - 1.0):
        entry.rechecks += 1
        record = entry.record
        turn.count("rechecks")
        turn.send(record.address, record.session, Dead(record.name, entry.incarnation, state.name))


def hear_ping(turn: Turn, source: Address, sender: int, ping: Ping) -> None:
    """Somebody asks whether we are there."""
    turn.send(source, sender, Ack(ping.number))


def hear_ack(turn: Turn, source: Address, sender: int, ack: Ack) -> None:
    """An answer: to our own probe, to one made for another, or from who has our name."""
    state = turn.state
    if state.probe and state.probe.number == ack.number:
        probe, path, state.probe = state.probe, state.probe.entry.path, None
        if sender == probe.session:
            path.answer(turn.now, turn.now - probe.began if probe.rounds <= 1 else None)
            if probe.rounds <= 1:
                state.usual.answer(turn.now, turn.now - probe.began)
        elif helper := state.table.of_session(sender):
            path.answer_through(turn.now, helper.record.name)
            _check(turn, probe)
        proof(turn, source)
        if state.rules.health:
            state.health.note(-1)
    elif ack.number in state.checks:
        check = state.checks[ack.number]
        if sender == check.session:
            del state.checks[ack.number]
            check.entry.path.answer(turn.now, None)
            proof(turn, source)
    elif relay := state.relays.pop(ack.number, None):
        proof(turn, source)
        turn.send(relay.origin, relay.session, Ack(relay.number))
    elif state.own.namesake and state.own.namesake.number == ack.number:
        give_way(turn)
    else:
        turn.count("probes.late_word")


def _check(turn: Turn, probe: Probe) -> None:
    """It answered a helper: is our way to it shut, or was a datagram lost?"""
    if turn.state.rules.witness and len(turn.state.checks) < MOST_CHECKS:
        number = turn.number()
        turn.state.checks[number] = Check(probe.entry, probe.session, CHECKS)
        check_due(turn, number)


def check_due(turn: Turn, about: object) -> None:
    """Ask once more without a helper, or conclude that the way is shut."""
    state = turn.state
    assert isinstance(about, int)
    if (check := state.checks.get(about)) is None:
        return
    if check.left and check.entry.live:
        check.left -= 1
        turn.send(check.entry.record.address, check.session, Ping(about))
        rules = state.rules
        least = rules.timeout_ms * rules.learned_share
        wait = check.entry.path.timeout_ms(least, rules.timeout_ms, state.usual)
        turn.after(max(wait, CHECK_MS), "check", about)
        return
    del state.checks[about]
    if check.entry.live and check.entry.record.session == check.session:
        known, check.entry.path.missed = check.entry.path.missed >= 2, max(2, check.entry.path.missed)
        name = check.entry.record.name
        if not known and name not in state.ways.shut and reaches(state, state.name, name)[0] is not False:
            turn.count("ways.shut")
            call_survey(turn)


def hear_ask(turn: Turn, source: Address, sender: int, ask: Ask) -> None:
    """Probe a member for another one."""
    state = turn.state
    if len(state.relays) >= MOST_RELAYS:
        turn.count("relays_full")
        return
    number = turn.number()
    state.relays[number] = Relay(source, sender, ask.number, ask.session)
    turn.send((ask.host, ask.port), ask.session, Ping(number))
    turn.after(_relay_ms(turn, ask.session), "relay", (number, ask.nack))


def _relay_ms(turn: Turn, session: int) -> float:
    """How long a target is waited for in another's place before we say that it has not answered."""
    rules = turn.state.rules
    most = rules.timeout_ms * rules.nack_share
    target = turn.state.table.of_session(session)
    if target is None or not rules.witness:
        return most
    return target.path.timeout_ms(rules.timeout_ms * rules.learned_share, most)


def relay_due(turn: Turn, about: object) -> None:
    """A probe made for another has no answer so far; it may still have one within the other's period."""
    assert isinstance(about, tuple)
    number, nack = about
    if relay := turn.state.relays.get(number):
        if nack is None:
            del turn.state.relays[number]
            return
        turn.after(turn.state.rules.probe_ms, "relay", (number, None))
        if nack:
            target = turn.state.table.of_session(relay.target)
            ago = turn.now - target.path.heard_at if target else MOST_HEARD
            turn.send(relay.origin, relay.session, Nack(relay.number, int(min(MOST_HEARD, max(0.0, ago)))))


def _fresh_ms(turn: Turn, probe: Probe) -> float:
    """How old a sign of life may be that ends a probe: after it began, or, of one to whom a way of ours is
    known to be shut, of the last period, for it is asked about for as long as that lasts."""
    return max(turn.now - probe.began, turn.state.rules.probe_ms if probe.entry.path.cut else 0.0)


def hear_nack(turn: Turn, source: Address, sender: int, nack: Nack) -> None:
    """A helper is there, and the target has not answered it; but it may have heard from it of late."""
    state, probe = turn.state, turn.state.probe
    if probe is None or probe.number != nack.number:
        return
    if sender not in probe.proofs:
        probe.proofs.add(sender)
        probe.nacks = min(probe.asked, probe.nacks + 1)
    proof(turn, source)
    helper = state.table.of_session(sender)
    if state.rules.witness and helper and state.probe is probe and nack.heard_ms < _fresh_ms(turn, probe):
        # It spoke of late: it lives, whatever is wrong with its ways. That is no answer, but a sign.
        probe.entry.path.life_at = turn.now - nack.heard_ms
        probe.entry.path.via = helper.record.name
        state.probe = None
        turn.count("probes.witnessed")
