"""An owner's book of what it lent of its part of one limit: who may still spend how much, at the most.

Rules. A line is (number, n, until): a lease of n rights that counts until then on the owner's clock. Of one
borrower's life the greatest n counts, for it holds one lease at a time. Lines are lowered only by `lower`,
whose words are truths for ever, and by time. Lines are merged to the safe side beyond `MOST_LINES`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from flintfield.sharing.rules import DRIFT, MOST_LINES, cool_ms, hold_ms

Borrower = tuple[int, int]
"""Its place and its life."""


@dataclass(slots=True)
class Line:
    """One lease."""

    number: int
    n: int
    until: float


@dataclass(slots=True)
class Account:
    """One borrower's life."""

    lines: list[Line] = field(default_factory=list)
    asked_at: float = -math.inf  # on the borrower's clock: of the newest ask that was answered
    heard_at: float = -math.inf  # on ours
    wants: int = 0
    number: int = 0  # the newest lease's
    n: int = 0  # its rights
    recalled_at: float = -math.inf

    @property
    def most(self) -> int:
        """What it may spend at the most."""
        return max((line.n for line in self.lines), default=0)


class Book:
    """What is lent of one part."""

    def __init__(self, window_ms: float, is_pool: bool) -> None:
        self.window_ms, self.is_pool = window_ms, is_pool
        self.accounts: dict[Borrower, Account] = {}
        self._out = 0
        self.next_end = math.inf  # when the first line ends

    def out(self, now: float) -> int:
        """What may be spent by borrowers, at the most."""
        if now >= self.next_end:
            self._sum_up(now)
        return self._out

    def out_but(self, now: float, borrower: Borrower) -> int:
        """The same without one of them."""
        account = self.accounts.get(borrower)
        return self.out(now) - (account.most if account else 0)

    def _sum_up(self, now: float) -> None:
        out, end = 0, math.inf
        for borrower in list(self.accounts):
            account = self.accounts[borrower]
            account.lines = [line for line in account.lines if line.until > now and line.n > 0]
            if not account.lines and now - account.heard_at > hold_ms(0.0, self.window_ms) + 10_000.0:
                del self.accounts[borrower]
                continue
            out += account.most
            end = min([end, *(line.until for line in account.lines)])
        self._out, self.next_end = out, end

    def account(self, borrower: Borrower) -> Account:
        """That borrower's account, opened if there is none."""
        return self.accounts.setdefault(borrower, Account())

    def lower(self, now: float, borrower: Borrower, number: int, keep: int, occupied: int) -> None:
        """It tells: of lease `number` I keep so many rights, and so many are occupied under all leases."""
        account = self.accounts.get(borrower)
        if account is None:
            return
        # What is still occupied of a rate ends this long after it was told; a pool's jobs may go on longer.
        end = math.inf if self.is_pool else now + cool_ms(self.window_ms) * DRIFT * DRIFT
        for line in account.lines:
            if line.number < number:
                line.n, line.until = min(line.n, occupied), min(line.until, end)
            elif line.number == number:
                line.n = min(line.n, max(keep, occupied))
        self._sum_up(now)

    def lend(self, now: float, borrower: Borrower, number: int, n: int, valid_ms: float) -> None:
        """Write a new lease down; `number` is above all before."""
        account = self.account(borrower)
        account.number, account.n = number, n
        if n > 0:
            account.lines.append(Line(number, n, now + hold_ms(valid_ms, self.window_ms)))
            if len(account.lines) > MOST_LINES:
                first, second = account.lines[:2]
                account.lines[:2] = [Line(second.number, max(first.n, second.n),
                                          max(first.until, second.until))]
        self._sum_up(now)
