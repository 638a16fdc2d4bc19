"""The error type whose message is shown to users unchanged."""


class UserError(Exception):
    """An error made by the user, shown in one line without a traceback."""
