"""What every part may raise on input that cannot be used."""


class BadInput(Exception):
    """Input that cannot be used; the text is one line that names file, key, what was found and expected.

    A command that raises it ends with exit code 2 and that line.
    """
