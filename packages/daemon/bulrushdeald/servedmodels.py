"""Keeps an engine's row in step with the models that it holds.

The router sends a model's requests to the engines whose row names it. So a
model is taken out of the row before an engine is ordered to drop it, and put
in after the engine has said that it holds it.
"""

from collections.abc import Callable

import result

from bulrushdeal import records
from bulrushdeald import edits
from bulrushdeald import pages

Edited = result.Result[edits.Stored, edits.EditError]


class ServedModels:
    """Edits the `models` of upstreams' rows."""

    def __init__(self, editor: edits.Editor) -> None:
        self._editor = editor

    def set_served(
        self,
        upstream: str,
        models: frozenset[str],
        is_served: bool,
        is_allowed: Callable[[], bool],
    ) -> Edited:
        """Puts models into an engine's row or takes them out.

        Args:
            upstream: The engine; nothing is changed if its row is gone.
            models: The names that callers ask for.
            is_served: Whether the row is to name them.
            is_allowed: Asked after the page was read and before it is
                written. An orderer that was frozen and superseded meanwhile
                would undo what its successor did; the successor has changed
                the page since, or is found out here.
        """

        def rewrite(
            stored: edits.Stored,
        ) -> result.Result[pages.Page, edits.EditError]:
            if not is_allowed():
                problem = edits.EditError("conflict", "Another VM orders.")
                return result.Err(problem)
            rows = tuple(
                _with_models(row, models, is_served)
                if row.upstream == upstream
                else row
                for row in stored.page.upstreams
            )
            return result.Ok(stored.page._replace(upstreams=rows))

        return self._editor.edit(pages.UPSTREAMS_KEY, rewrite)


def _with_models(
    row: records.Upstream, models: frozenset[str], is_served: bool
) -> records.Upstream:
    kept = tuple(name for name in row.models if name not in models)
    if not is_served:
        return row._replace(models=kept)
    added = tuple(sorted(models - set(row.models)))
    return row._replace(models=(*row.models, *added))
