"""The command `usage`."""

import datetime
from urllib import parse

from cleo.helpers import option

from bulrushdeal import errors
from bulrushdealui import tables
from bulrushdealui.commands import base

_COLUMNS = (
    "customer",
    "work_class",
    "model",
    "outcome",
    "requests",
    "prompt_tokens",
    "completion_tokens",
)


class UsageCommand(base.OperatorCommand):
    """Reports requests and tokens by customer, class and model."""

    name = "usage"
    description = "Report requests and tokens by customer, class and model."
    options = [
        option("customer", description="Only this one.", flag=False),
        option(
            "from",
            description="Seconds since 1970, or YYYY-MM-DD[THH:MM] in UTC.",
            flag=False,
        ),
        option("to", description="As --from; exclusive.", flag=False),
        option("csv", description="Print CSV."),
    ]

    def run_command(self) -> None:
        """See `base.Command`."""
        query: dict[str, str] = {}
        if self.option("customer"):
            query["customer"] = self.option("customer")
        for name in ("from", "to"):
            if self.option(name):
                seconds = _parse_time_s(name, self.option(name))
                query[f"{name}_s"] = f"{seconds:.0f}"
        path = "/v1/usage?" + parse.urlencode(query)
        value = self.client().read_value(path)
        if self.option("json"):
            self.show(tables.as_json(value))
            return
        rows = tables.rows_of(value, "customers")
        if self.option("csv"):
            self.show(tables.as_csv(rows, _COLUMNS).rstrip("\n"))
            return
        self.show(tables.as_text(rows, _COLUMNS))
        self.show("\nUpstreams:")
        self.show(tables.as_text(tables.rows_of(value, "upstreams")))
        self.show("\nHow fresh each VM's sums are:")
        sources = tables.rows_of(value, "sources")
        self.show(tables.as_text([_with_time_text(row) for row in sources]))
        for note in value.get("notes", []):
            self.show(f"Note: {note}")


def _with_time_text(row: tables.Row) -> tables.Row:
    wall_s = row.get("sums_until_s")
    other_fields = {name: row[name] for name in row if name != "sums_until_s"}
    return {**other_fields, "sums_until": tables.time_text(wall_s)}


def _parse_time_s(name: str, text: str) -> float:
    try:
        return float(text)
    except ValueError:
        pass
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError:
        raise errors.UserError(
            f"--{name}: {text!r} is neither seconds nor a date."
        ) from None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return moment.timestamp()
