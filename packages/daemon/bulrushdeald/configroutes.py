"""The operators' routes to customers, keys, upstreams and the table."""

from collections.abc import Mapping
import secrets
from typing import Any

import result

from bulrushdeal import codec
from bulrushdeal import httpd
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records
from bulrushdeald import config as config_lib
from bulrushdeald import configstatus
from bulrushdeald import customertable
from bulrushdeald import membership as membership_lib
from bulrushdeald import operatorhttp
from bulrushdeald import pageeditor
from bulrushdeald import pageedits
from bulrushdeald import pages
from bulrushdeald import services

_CUSTOMERS = "/v1/customers"
_TABLE = "/v1/table.csv"
_KEYS = "/v1/keys"
_UPSTREAMS = "/v1/upstreams"
_MIN_PREFIX_CHARACTERS = 8
_MAX_LABEL_CHARACTERS = 200
_KEY_BYTES = 32


class ConfigRoutes:
    """Serves the configuration to operators; see docs/operators."""

    def __init__(
        self,
        keyvalue: services.KeyValue,
        config: config_lib.ConfigService,
        limits: services.Limits | None,
    ) -> None:
        self._keyvalue = keyvalue
        self._limits = limits
        self._config = config
        self._editor = pageeditor.Editor(keyvalue, config)

    def list_customers(self, request: httpd.Request) -> httpd.Response:
        """Responds with all rows, each with the revision of its page."""
        del request
        rows = [
            {**row._asdict(), "revision": self._page_revision(row.customer)}
            for row in self._config.customers()
        ]
        body = {"customers": rows, "revision": self._config.revision()}
        return httpd.json_response(200, body)

    def _page_revision(self, customer: str) -> int:
        held = self._config.page(pages.customer_key(customer))
        return held.revision if held else 0

    def put_customer(self, request: httpd.Request) -> httpd.Response:
        """Adds or replaces a whole row."""
        body = operatorhttp.body_object(request)
        expected = body.pop("expected_revision", None)
        name = _name_in_path(request, _CUSTOMERS)
        if body.setdefault("customer", name) != name:
            raise operatorhttp.BadRequestError(
                "The path names another customer.", "customer"
            )
        checked = customertable.check_row(body)
        if checked.is_err():
            return operatorhttp.table_errors((checked.unwrap_err(),))
        row = checked.unwrap()
        revision = operatorhttp.revision(expected, "expected_revision")
        edited = self._editor.edit(
            pages.customer_key(row.customer),
            pageedits.put_customer(
                row, revision, self._initial_tokens_if_new(row)
            ),
        )
        return _edit_response(edited, row._asdict())

    def _initial_tokens_if_new(
        self, row: records.Customer
    ) -> records.InitialTokens | None:
        is_known = self._config.customer(row.customer) is not None
        if is_known or self._limits is None:
            return None
        return self._limits.initial_tokens(row)

    def patch_customer(self, request: httpd.Request) -> httpd.Response:
        """Changes one cell unless it has changed since the operator saw it."""
        body = operatorhttp.body_object(request)
        column = body.get("column", "")
        checked = customertable.check_cell(column, body.get("value"))
        if checked.is_err():
            return operatorhttp.table_errors((checked.unwrap_err(),))
        expected_value = body.get("expected_value")
        expected_revision = operatorhttp.revision(
            body.get("expected_revision"), "expected_revision"
        )
        if expected_value is None and expected_revision is None:
            raise operatorhttp.BadRequestError(
                "Give expected_value or expected_revision, as you saw them.",
                "expected_value",
            )
        if expected_value is not None:
            seen = customertable.check_cell(column, expected_value)
            if seen.is_err():
                return operatorhttp.table_errors((seen.unwrap_err(),))
            expected_value = seen.unwrap()
        change = pageeditor.CellEdit(
            _name_in_path(request, _CUSTOMERS),
            column,
            checked.unwrap(),
            expected_value,
            expected_revision,
        )
        edited = self._editor.edit(
            pages.customer_key(change.customer), pageedits.set_cell(change)
        )
        return _edit_response(
            edited, {"customer": change.customer, column: change.value}
        )

    def delete_customer(self, request: httpd.Request) -> httpd.Response:
        """Removes a row and withdraws its keys."""
        name = _name_in_path(request, _CUSTOMERS)
        edited = self._editor.edit(
            pages.customer_key(name), pageedits.delete_customer(name)
        )
        return _edit_response(edited, {"customer": name})

    def create_key(self, request: httpd.Request) -> httpd.Response:
        """Creates a customer's key; only this response contains the key."""
        name = _name_in_path(request, _CUSTOMERS)
        if not name.endswith("/keys"):
            return operatorhttp.error(
                404, "not_found", "There is no such route."
            )
        label = operatorhttp.body_object(request).get("label", "")
        is_text = isinstance(label, str) and label.isprintable()
        if not is_text or len(label) > _MAX_LABEL_CHARACTERS:
            raise operatorhttp.BadRequestError(
                "A label is a short printable text.",
                "label",
            )
        secret = "bd-" + secrets.token_urlsafe(_KEY_BYTES)
        row = records.Key(
            config_lib.hash_key(secret), name.removesuffix("/keys"), label
        )
        edited = self._editor.edit(
            pages.customer_key(row.customer), pageedits.add_key(row)
        )
        return _edit_response(edited, {"key": secret, **row._asdict()})

    def list_keys(self, request: httpd.Request) -> httpd.Response:
        """Responds with all keys, or one customer's, without the secrets."""
        customer = operatorhttp.query(request).get("customer")
        rows = [
            row._asdict()
            for row in self._config.customer_keys()
            if customer in (None, row.customer)
        ]
        return httpd.json_response(200, {"keys": rows})

    def withdraw_key(self, request: httpd.Request) -> httpd.Response:
        """Withdraws the only key whose hash begins with the path's prefix."""
        prefix = _name_in_path(request, _KEYS).lower()
        if len(prefix) < _MIN_PREFIX_CHARACTERS:
            raise operatorhttp.BadRequestError(
                f"Give {_MIN_PREFIX_CHARACTERS} or more characters of the hash."
            )
        # Another VM may have created the key just now, and this VM may not
        # have received it yet.
        found = self._find_keys(prefix)
        if not found and self._config.feed.read_all():
            found = self._find_keys(prefix)
        if not found:
            return operatorhttp.error(404, "missing", "There is no such key.")
        if len(found) > 1:
            message = (
                f"{len(found)} keys have this prefix; give more characters."
            )
            return operatorhttp.error(409, "ambiguous", message)
        row = found[0]._replace(withdrawn=True)
        edited = self._editor.edit(
            pages.customer_key(row.customer),
            pageedits.withdraw_key(row.key_hash),
        )
        return _edit_response(edited, row._asdict())

    def _find_keys(self, prefix: str) -> list[records.Key]:
        return [
            row
            for row in self._config.customer_keys()
            if row.key_hash.startswith(prefix)
        ]

    def export_table(self, request: httpd.Request) -> httpd.Response:
        """Responds with the table as CSV and the configuration's revision."""
        del request
        revision = self._config.revision()
        data = customertable.write_csv(self._config.customers()).encode()
        headers = (
            ("Content-Type", "text/csv; charset=utf-8"),
            ("Content-Length", str(len(data))),
            ("X-Revision", str(revision)),
        )
        return httpd.Response(200, headers, (data,))

    def import_table(self, request: httpd.Request) -> httpd.Response:
        """Adds and replaces rows from CSV; rows not in the file stay.

        With `dry_run=1` the response only lists what would change. The rows
        of a page are changed all together or not at all.
        """
        query = operatorhttp.query(request)
        try:
            text = operatorhttp.body_bytes(request).decode("utf-8")
        except UnicodeDecodeError as error:
            raise operatorhttp.BadRequestError(f"Not UTF-8: {error}") from None
        read = customertable.read_csv(text)
        if read.is_err():
            return operatorhttp.table_errors(read.unwrap_err())
        changed = [
            row
            for row in read.unwrap()
            if self._config.customer(row.customer) != row
        ]
        body: dict[str, Any] = {
            "rows": len(read.unwrap()),
            "changed": [self._summarize_change(row) for row in changed],
        }
        if query.get("dry_run", "0") not in ("", "0"):
            return httpd.json_response(200, {**body, "dry_run": True})
        expected = operatorhttp.revision(
            query.get("expected_revision"), "expected_revision"
        )
        problems = self._import_pages(changed, expected)
        if not problems:
            return httpd.json_response(200, body)
        has_only_conflicts = all(row["code"] == "conflict" for row in problems)
        return operatorhttp.error(
            409 if has_only_conflicts else 503,
            "partial",
            "Some pages were not changed; import the file again.",
            pages=problems,
        )

    def _summarize_change(self, row: records.Customer) -> dict[str, Any]:
        held = self._config.customer(row.customer)
        before = None if held is None else held._asdict()
        return {"customer": row.customer, "old": before, "new": row._asdict()}

    def _import_pages(
        self, rows: list[records.Customer], expected: int | None
    ) -> list[dict[str, Any]]:
        by_page: dict[str, list[records.Customer]] = {}
        for row in rows:
            by_page.setdefault(pages.customer_key(row.customer), []).append(row)
        problems: list[dict[str, Any]] = []
        for key, page_rows in sorted(by_page.items()):
            found = [self._initial_tokens_if_new(row) for row in page_rows]
            openings = tuple(
                initial_tokens for initial_tokens in found if initial_tokens
            )
            edited = self._editor.edit(
                key, pageedits.put_rows(tuple(page_rows), expected, openings)
            )
            if edited.is_err():
                error = edited.unwrap_err()
                problems.append(
                    {
                        "page": key,
                        "code": error.kind,
                        "message": error.message,
                        "customers": [row.customer for row in page_rows],
                    }
                )
        return problems

    def list_upstreams(self, request: httpd.Request) -> httpd.Response:
        """Responds with all upstreams."""
        del request
        rows = [codec.to_object(row) for row in self._config.upstreams()]
        return httpd.json_response(200, {"upstreams": rows})

    def put_upstream(self, request: httpd.Request) -> httpd.Response:
        """Adds or replaces a whole upstream."""
        name = _name_in_path(request, _UPSTREAMS)
        row = operatorhttp.body_message(
            request, records.Upstream, upstream=name
        )
        edited = self._editor.edit(
            pages.UPSTREAMS_KEY, pageedits.put_upstream(row)
        )
        return _edit_response(edited, codec.to_object(row))

    def delete_upstream(self, request: httpd.Request) -> httpd.Response:
        """Removes an upstream."""
        name = _name_in_path(request, _UPSTREAMS)
        edited = self._editor.edit(
            pages.UPSTREAMS_KEY, pageedits.delete_upstream(name)
        )
        return _edit_response(edited, {"upstream": name})


def _name_in_path(request: httpd.Request, parent: str) -> str:
    return request.path.removeprefix(parent + "/")


def _edit_response(
    edited: result.Result[pageeditor.Stored, pageeditor.EditError],
    body: Mapping[str, Any],
) -> httpd.Response:
    if edited.is_err():
        return operatorhttp.edit_error(edited.unwrap_err())
    return httpd.json_response(
        200, {**body, "revision": edited.unwrap().revision}
    )


def add(kernel: kernel_lib.Kernel, server: services.OperatorRoutes) -> None:
    """Adds the routes to the operators' server."""
    keyvalue = kernel.find(services.KEYVALUE, services.KeyValue)
    config = kernel.find(services.CONFIG, config_lib.ConfigService)
    limits = None
    if kernel.has(services.LIMITS):
        limits = kernel.find(services.LIMITS, services.Limits)
    routes = ConfigRoutes(keyvalue, config, limits)
    server.route("GET", _CUSTOMERS, routes.list_customers)
    server.route("PUT", _CUSTOMERS + "/", routes.put_customer)
    server.route("PATCH", _CUSTOMERS + "/", routes.patch_customer)
    server.route("DELETE", _CUSTOMERS + "/", routes.delete_customer)
    server.route("POST", _CUSTOMERS + "/", routes.create_key)
    server.route("GET", _TABLE, routes.export_table)
    server.route("POST", _TABLE, routes.import_table)
    server.route("GET", _KEYS, routes.list_keys)
    server.route("DELETE", _KEYS + "/", routes.withdraw_key)
    server.route("GET", _UPSTREAMS, routes.list_upstreams)
    server.route("PUT", _UPSTREAMS + "/", routes.put_upstream)
    server.route("DELETE", _UPSTREAMS + "/", routes.delete_upstream)
    status = configstatus.ConfigStatus(
        keyvalue,
        config,
        kernel.find(services.MEMBERSHIP, membership_lib.PlatformMembership),
        kernel.find(services.PEERS, services.Peers),
    )
    server.route("GET", "/v1/vms", status.list_vms)
    server.route("GET", "/v1/config/status", status.read)
