"""What a member knows of itself: does it hear, and is it heard?

Theory of operation. Who hears nothing takes all others for dead, and who is heard by nobody gets no answer
and does the same; both are wrong about everybody at once. So a member judges others only as long as it has
proof that its words go out and answers come back: an ack or a nack to a word of its own (differential
observation: Huang et al., "Gray failure", HotOS 2017). Without proof for `PROOF_PERIODS` of its probes it
is *unheard* if words of others still reach it, else *isolated*. While it is, it suspects nobody, lets no
suspicion run out and goes on with all else. An isolated member whose own words may still go out speaks to
more members than usual: whoever hears it tells those who ask (`Nack.heard_ms`), and shows it as heard
though it may be held for dead. When proof comes back it drops its doubts and asks for a table first.

Rejected: an incarnation that an isolated member raises beforehand, against what it can not hear. It keeps
the deaf alive in all views, and costs news of it without end (1.4 times the bytes of ten members); and such
a word that comes 20 s late brings back a member that died meanwhile, which a property test found.

A group of two has no third who could tell a dead member from a dead way: there the plain rule counts.
"""

from __future__ import annotations

from flintfield.membership.meeting import open_exchange
from flintfield.membership.messages import Address, Alive
from flintfield.membership.state import Turn

SPEAK_PART = 4  # one of so many members is spoken to in each period by one that is isolated
PROOF_PERIODS = 3  # probes in a row without any answer to a word of ours


def begin_probe(turn: Turn) -> None:
    """A probe goes out: look at ourselves first."""
    state, standing = turn.state, turn.state.standing
    if not state.rules.witness or state.table.live <= 2:
        standing.unproved = 0
        return
    standing.unproved += 1
    if standing.unproved <= PROOF_PERIODS:
        return
    quiet = turn.now - standing.heard_at > PROOF_PERIODS * state.period_ms
    word = "isolated" if quiet else "unheard"
    if standing.word != word:
        turn.note(f"we are {word}", was=standing.word)
        turn.count(f"standing.{word}")
        standing.word, standing.since = word, turn.now
    if quiet:
        count = max(2, state.table.live // SPEAK_PART)
        for other in state.table.pick(count, lambda e: e.record.name != state.name):
            # Who hears us can tell others that we live.
            turn.send(other.record.address, other.record.session, Alive(state.own.record))


def proof(turn: Turn, source: Address) -> None:
    """An answer to a word of ours came from there."""
    standing = turn.state.standing
    standing.proved_at, standing.unproved = turn.now, 0
    if not standing.well:
        turn.note("we are heard again", was=standing.word, s=round((turn.now - standing.since) / 1000, 1))
        standing.word, standing.since = "well", turn.now
        turn.state.probe = None
        open_exchange(turn, source)  # ask before we speak
