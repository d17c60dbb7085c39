"""The exit codes of the command line."""

OK = 0
VERDICT_BAD = 1  # it ran, and what it found is not good
FAULTY = 2  # arguments, or a file that was given, can't be used
UNREACHABLE = 3  # no process answered, or nobody leads
