"""The command line, made of its commands."""

from __future__ import annotations

from cleo.application import Application

from flintfield.console.local.command import LocalCommand


def build() -> Application:
    """The application with all commands."""
    application = Application("flintfield console", "1")
    application.add(LocalCommand())
    return application
