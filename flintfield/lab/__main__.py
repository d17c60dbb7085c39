"""`python -m flintfield.lab` is `flintfield lab`."""

from flintfield.lab.cli import lab

if __name__ == "__main__":
    lab(prog_name="flintfield lab")
