"""What every program of the system needs at run time: settings, logs, kinds of errors and clocks."""
