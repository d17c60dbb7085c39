"""The command line: `group.py` has the table of commands, each imported when it is asked for."""
