"""What is spoken on the wire: a folder for each protocol. Nothing is decided here."""
