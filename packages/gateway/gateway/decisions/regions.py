"""The regions that a request may be sent to."""

from gateway import records


def allowed(
    route: records.Route | None, customer: records.Customer | None
) -> frozenset[str] | None:
    """Returns the regions that a route and a customer both allow.

    Returns:
        The regions, which may be none; `None` if neither restricts them.
    """
    restrictions = [
        frozenset(row.regions)
        for row in (route, customer)
        if row is not None and row.regions
    ]
    if not restrictions:
        return None
    return frozenset.intersection(*restrictions)
