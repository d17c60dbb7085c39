"""The program with a bad network: `lossy.py SHARE ...` loses that share of membership's datagrams."""

from __future__ import annotations

import random
import sys

from flintfield.lifecycle.start import main
from flintfield.membership.messages import Address
from flintfield.wire.membership.datagrams import Datagrams

loss, chance, receive = float(sys.argv[1]), random.Random(1), Datagrams.receive


def lose(datagrams: Datagrams, data: bytes, source: Address) -> None:
    if chance.random() >= loss:
        receive(datagrams, data, source)


setattr(Datagrams, "receive", lose)  # noqa: B010
sys.exit(main(sys.argv[2:]))
