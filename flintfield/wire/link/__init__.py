"""The link between forwarders and planners: persistent TCP connections, sealed frames of MessagePack.

    forwarder   0xF1 'L', least and most version, 16 random bytes, count of keys, their ids (4 bytes each)
    planner     0xF1 'L', version, id of the key, 16 random bytes; version 0: refused, and the id says why
    then both   frames: length (4 bytes), session and counter (12 bytes, the nonce), AES-256-GCM of
                [kind, content]; authenticated with it are a hash of both greetings, the direction and the
                frame's number, so no frame of another connection, side or place in the order opens

Rules. Fields are only appended, and kinds that are not known are skipped, so releases run side by side within
a version. Keys are membership's (`wire/membership/keys.py`); without a key file only loopback is used.
Bounded: a frame by MOST_FRAME, a connection by one frame each way, a planner by MOST_LINKS connections.

Flow control: of each direction only the newest word matters. A forwarder has one digest under way to a
planner, and makes the next when that is written; a planner keeps a forwarder's newest digest, and answers at
its next step if the last plan is written. So a slow reader costs one frame, and its plans are of a later
digest, not older.

`frames` seals and opens, `forwarder` dials planners and takes plans, `planner` serves forwarders.
"""
