"""Recording of what the decision module was told and said, and replay of such a record."""
