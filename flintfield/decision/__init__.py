"""The dispatcher's decision module: its events, its decisions and the state that it keeps for them."""
