"""Keeps the models in an engine's row consistent with those that it holds.

The router sends a model's requests to the engines whose row names it. So a
model is removed from the row before the engine is ordered to drop it, and
added after the engine has reported that it holds the model.
"""

from collections.abc import Callable

import result

from bulrushdeal import records
from bulrushdeald import pageeditor
from bulrushdeald import pages

Edited = result.Result[pageeditor.Stored, pageeditor.EditError]


class ServedModels:
    """Edits the `models` of upstreams' rows."""

    def __init__(self, editor: pageeditor.Editor) -> None:
        self._editor = editor

    def set_served(
        self,
        upstream: str,
        models: frozenset[str],
        is_served: bool,
        is_allowed: Callable[[], bool],
    ) -> Edited:
        """Adds models to an engine's row or removes them.

        Args:
            upstream: The engine; nothing is changed if its row is gone.
            models: The names that callers request.
            is_served: Whether the row should name them.
            is_allowed: Called after the page is read and before it is
                written; if false, the edit ends with a conflict. Without it, a
                VM that was frozen and replaced meanwhile would undo the edits
                of its successor: a change made after the read fails the
                write, an earlier one is detected by this call.
        """

        def rewrite(
            stored: pageeditor.Stored,
        ) -> result.Result[pages.Page, pageeditor.EditError]:
            if not is_allowed():
                problem = pageeditor.EditError(
                    "conflict", "Another VM has taken the order over."
                )
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
