"""Tests of the table's checks and of its CSV."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from bulrushdeal import records
from bulrushdeald import customertable

names = st.text(min_size=1, max_size=100).filter(
    lambda name: customertable.check_name(name).is_ok()
)
numbers = st.floats(0.001, 1e6)
rows = st.builds(records.Customer, names, *([numbers] * 4))


@given(st.lists(rows, unique_by=lambda row: row.customer))
def test_exported_table_is_imported_unchanged(
    given_rows: list[records.Customer],
) -> None:
    text = customertable.write_csv(tuple(given_rows))
    assert customertable.read_csv(text).unwrap() == tuple(given_rows)


@given(st.text())
def test_any_text_is_read_or_rejected_with_a_line(text: str) -> None:
    read = customertable.read_csv(text)
    if read.is_err():
        assert all(error.line >= 0 for error in read.unwrap_err())


HEADER = "customer,weight,rate_per_s,burst,batch_weight\n"


@pytest.mark.parametrize(
    ("text", "line", "column"),
    [
        ("", 1, ""),
        ("customer,weight\n", 1, "rate_per_s"),
        (HEADER.replace("weight", "wait", 1), 1, "weight"),
        (HEADER + "kamau,1,2,3\n", 2, ""),
        (HEADER + "kamau,1,2,3,4\nwanjiru,1,x,3,4\n", 3, "rate_per_s"),
        (HEADER + "kamau,1,2,-3,4\n", 2, "burst"),
        (HEADER + "kamau,0,2,3,4\n", 2, "weight"),
        (HEADER + "kamau,nan,2,3,4\n", 2, "weight"),
        (HEADER + "kamau,1,inf,3,4\n", 2, "rate_per_s"),
        (HEADER + "kamau,1,2,3,4\nkamau,1,2,3,4\n", 3, "customer"),
        (HEADER + "=1+2,1,2,3,4\n", 2, "customer"),
        (HEADER + "a/b,1,2,3,4\n", 2, "customer"),
    ],
)
def test_errors_name_line_and_column(text: str, line: int, column: str) -> None:
    first = customertable.read_csv(text).unwrap_err()[0]
    assert (first.line, first.column) == (line, column)


def test_all_errors_are_reported_and_blank_lines_ignored() -> None:
    text = "\ufeff" + HEADER + "\nkamau,1,a,b,4\n\nwanjiru,c,2,3,4\n"
    found = customertable.read_csv(text).unwrap_err()
    assert [(e.line, e.column) for e in found] == [
        (3, "rate_per_s"),
        (5, "weight"),
    ]


def test_columns_may_be_in_any_order() -> None:
    text = "burst,customer,weight,batch_weight,rate_per_s\n5,台灣,1,2,3\n"
    row = records.Customer("台灣", 1.0, 3.0, 5.0, 2.0)
    assert customertable.read_csv(text).unwrap() == (row,)
