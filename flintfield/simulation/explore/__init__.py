"""Small worlds that are explored exhaustively, to a stated depth: every order of deliveries, losses and ends.

`explorer` goes through the states of any such world, breadth first. `register` is the configuration
register while its replicas change; `takeover` a dispatcher, its successor, an agent and a worker.
"""
