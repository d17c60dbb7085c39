"""`python -m flintfield.store` is `flintfield store`."""

from flintfield.store.command import store

store(prog_name="flintfield store")
