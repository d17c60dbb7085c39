"""Bounds and times of the queues. Those of the published API are named so; the others are ours."""

MOST_BATCH = 10  # entries of a batch, as published
MOST_IN_FLIGHT = 120_000  # of a queue, as published
MOST_POLLS = 10_000  # of all queues: each holds a connection
MOST_QUEUES = 1_000
MOST_TAGS = 50  # of a queue, as published
MOST_NAMES = 1_000  # in one answer, as published
LONGEST_DELAY_S = 900  # as published
LONGEST_POLL_S = 20  # as published
LONGEST_VISIBILITY_S = 43_200  # a message is in flight for twelve hours at the most, as published
SEEN_MS = 300_000  # a deduplication id counts for five minutes, as published
REST_MS = 60_000  # between two purges, and after a delete before the name comes back
SEQ_BLOCK = 10_000  # message numbers reserved at a time: none is given twice, also after a crash
MOVE_BATCH = 100  # messages moved in one step, so that nothing else waits long
MOVES_KEPT = 10
MOST_MOVES_PER_S = 500  # as published
