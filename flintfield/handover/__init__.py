"""Two processes of one scheduler, as one is started over the other: the pure core. No I/O, no clock."""
