"""The one error type whose message is shown to a user as it stands."""


class UserError(Exception):
    """A mistake of the user's, shown in one line and without a traceback."""
