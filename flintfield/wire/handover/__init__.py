"""The link between two processes of one scheduler: lines of JSON over a Unix socket."""
