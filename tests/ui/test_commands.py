"""Tests of the command line against a server with preset answers."""

from collections.abc import Iterator
import json
import pathlib
import socket
import threading

import pytest

from bulrushdealui import main
from support import routes as routes_lib

ROW = {
    "customer": "kisumu",
    "weight": 1.0,
    "rate_per_s": 10.0,
    "burst": 20.0,
    "batch_weight": 1.0,
    "revision": 7,
}


@pytest.fixture
def routes(monkeypatch: pytest.MonkeyPatch) -> Iterator[routes_lib.Routes]:
    with routes_lib.serving() as routes:
        monkeypatch.setenv("BULRUSHDEAL_SERVER", routes.address)
        monkeypatch.setenv("BULRUSHDEAL_CALLERS", routes.address)
        monkeypatch.setenv("BULRUSHDEAL_OPERATOR_TOKEN", "secret")
        monkeypatch.setenv("BULRUSHDEAL_KEY", "callers-key")
        yield routes


def run(monkeypatch: pytest.MonkeyPatch, *words: str) -> int:
    monkeypatch.setattr("sys.argv", ["bulrushdeal", *words])
    return main.run()


@pytest.mark.parametrize("word", ["--help", "-h"])
def test_help_lists_the_commands(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    word: str,
) -> None:
    # Guards against help that shows only the usage of cleo's command `list`.
    assert run(monkeypatch, word) == 0
    assert "customer create" in capsys.readouterr().out


def test_list_shows_columns_and_presents_the_credential(
    routes: routes_lib.Routes,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    routes.add("GET", "/v1/customers", 200, {"customers": [ROW]})
    assert run(monkeypatch, "table", "show") == 0
    heading, line = capsys.readouterr().out.splitlines()
    assert heading.split()[0] == "customer"
    assert line.split() == ["kisumu", "1", "10", "20", "1", "7"]
    assert routes.seen[0].credential == "Bearer secret"


def test_edit_sends_expected_value_and_conflict_shows_both_values(
    routes: routes_lib.Routes,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    # Two operators read the same cell, and the other one writes first. The
    # edit must be refused by its expected value, as one line with both values
    # and exit code 1 for scripts.
    routes.add("GET", "/v1/customers", 200, {"customers": [ROW]})
    routes.add(
        "PATCH",
        "/v1/customers/kisumu",
        409,
        {"error": {"message": "changed", "current": 30, "yours": 40}},
    )
    assert run(monkeypatch, "table", "set", "kisumu", "burst", "40") == 1
    shown = capsys.readouterr().err
    assert "30" in shown
    assert "40" in shown
    assert len(shown.splitlines()) == 1
    assert json.loads(routes.seen[-1].body) == {
        "column": "burst",
        "value": 40.0,
        "expected_revision": 7,
        "expected_value": 20.0,
    }


@pytest.mark.parametrize(
    ("words", "message"),
    [
        (("table", "set", "kisumu", "bursts", "4"), "bursts: no such column"),
        (("table", "set", "kisumu", "burst", "many"), "'many' is no number"),
        (("table", "set", "nobody", "burst", "4"), "nobody: no such customer"),
        (("table", "import", "/no/such/file"), "No such file"),
        (("upstream", "add", "e1"), "--address is required"),
        (("usage", "--from", "soon"), "neither seconds nor a date"),
        (("customer", "create"), "Not enough arguments"),
        (("customer", "creat"), "does not exist"),
        (("vm", "list"), "404: no path"),
        (("chat", "hello"), "--model is required"),
    ],
)
def test_mistake_is_one_line_and_exit_code_2(
    routes: routes_lib.Routes,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    words: tuple[str, ...],
    message: str,
) -> None:
    routes.add("GET", "/v1/customers", 200, {"customers": [ROW]})
    assert run(monkeypatch, *words) == 2
    captured = capsys.readouterr()
    assert message in captured.err
    assert len(captured.err.splitlines()) == 1
    assert captured.out == ""


def test_next_server_is_tried_when_the_first_refuses_the_connection(
    routes: routes_lib.Routes, monkeypatch: pytest.MonkeyPatch
) -> None:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        dead = f"127.0.0.1:{unused.getsockname()[1]}"
    routes.add("POST", "/v1/customers/kisumu/keys", 200, {"key": "k"})
    servers = f"{dead},{routes.address}"
    code = run(monkeypatch, "key", "create", "kisumu", "--server", servers)
    assert code == 0
    assert len(routes.seen) == 1


def test_lost_answer_to_a_change_is_unknown_and_never_sent_again(
    routes: routes_lib.Routes,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    # The VM is lost after it received the request, so the key may have been
    # issued. A retry at the next VM would issue a second key, and the first
    # would stay valid without anybody having it.
    listener = socket.create_server(("127.0.0.1", 0))

    def receive_and_close() -> None:
        connection, _ = listener.accept()
        connection.recv(65536)
        connection.close()

    thread = threading.Thread(target=receive_and_close, daemon=True)
    thread.start()
    servers = f"127.0.0.1:{listener.getsockname()[1]},{routes.address}"
    code = run(monkeypatch, "key", "create", "kisumu", "--server", servers)
    thread.join(10)
    listener.close()
    assert code == 2
    assert "unknown whether" in capsys.readouterr().err
    assert routes.seen == []


def test_submit_uploads_the_file_and_results_are_printed(
    routes: routes_lib.Routes,
    monkeypatch: pytest.MonkeyPatch,
    capsysbinary: pytest.CaptureFixture[bytes],
    tmp_path: pathlib.Path,
) -> None:
    items = tmp_path / "items.jsonl"
    items.write_text('{"custom_id": "1"}\n')
    routes.add("POST", "/v1/files", 200, {"id": "file-1"})
    routes.add("POST", "/v1/batches", 200, {"id": "job-1"})
    routes.add("GET", "/v1/batches/job-1", 200, {"status": "in_progress"})
    routes.add(
        "GET",
        "/v1/batches/job-1",
        200,
        {"status": "completed", "output_file_id": "file-2"},
    )
    routes.add("GET", "/v1/files/file-2/content", 200, b'{"r": 1}\n')
    monkeypatch.setattr("bulrushdealui.commands.job._POLL_S", 0.01)
    assert run(monkeypatch, "job", "submit", str(items), "--json") == 0
    assert json.loads(capsysbinary.readouterr().out) == {"id": "job-1"}
    assert items.read_bytes() in routes.seen[0].body
    assert json.loads(routes.seen[1].body)["input_file_id"] == "file-1"
    assert run(monkeypatch, "job", "results", "job-1", "--wait") == 0
    assert capsysbinary.readouterr().out == b'{"r": 1}\n'
    assert routes.seen[0].credential == "Bearer callers-key"


def test_chat_prints_tokens_and_reports_a_truncated_answer(
    routes: routes_lib.Routes,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    token = b'data: {"choices": [{"delta": {"content": "jambo "}}]}\n\n'
    path = "/v1/chat/completions"
    routes.add("POST", path, 200, token + token + b"data: [DONE]\n\n")
    routes.add("POST", path, 200, token)
    assert run(monkeypatch, "chat", "--model", "m", "hello") == 0
    assert capsys.readouterr().out == "jambo jambo \n"
    assert run(monkeypatch, "chat", "--model", "m", "hello") == 2
    captured = capsys.readouterr()
    assert captured.out.startswith("jambo ")
    assert "broke off" in captured.err


def test_refusal_shows_the_retry_time(
    routes: routes_lib.Routes,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    routes.add(
        "POST",
        "/v1/chat/completions",
        429,
        {"error": {"message": "rate", "ran": "not_run"}},
    )
    assert run(monkeypatch, "chat", "--model", "m", "hello") == 2
    shown = capsys.readouterr().err
    assert "come back after 2 s" in shown
    assert "ran: not_run" in shown


@pytest.mark.parametrize(
    ("words", "body"),
    [
        (
            ("load", "e0", "quiz", "--model-version", "2"),
            {"action": "load", "model": "quiz", "version": "2"},
        ),
        (("unload", "e0", "quiz"), {"action": "unload", "model": "quiz"}),
        (
            ("adapter", "e0", "tuned", "--base", "quiz"),
            {"action": "load", "model": "tuned", "base": "quiz"},
        ),
        (("role", "e0", "decode"), {"action": "role", "role": "decode"}),
    ],
)
def test_orders_to_engines_are_sent_as_asked(
    routes: routes_lib.Routes,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    words: tuple[str, ...],
    body: dict[str, str],
) -> None:
    order = {"upstream": "e0", "number": 3, "state": "waiting", **body}
    routes.add("POST", "/v1/upstreams/e0/orders", 200, order)
    assert run(monkeypatch, "upstream", *words) == 0
    assert json.loads(routes.seen[-1].body) == body
    assert "waiting" in capsys.readouterr().out
    routes.add("GET", "/v1/upstreams/e0/orders", 200, {"orders": [order]})
    assert run(monkeypatch, "upstream", "orders", "e0") == 0
    assert "waiting" in capsys.readouterr().out


def test_adapter_requires_a_base_model(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(monkeypatch, "upstream", "adapter", "e0", "tuned") == 2
    assert "--base is required" in capsys.readouterr().err


def test_explain_prints_the_lines_of_one_id_in_order_of_time(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    tmp_path: pathlib.Path,
) -> None:
    first, second = tmp_path / "vm1.log", tmp_path / "vm2.log"
    first.write_text(
        '{"time_s": 2.5, "vm": "vm1", "level": "info", "part": "runner",'
        ' "event": "listed", "job": "j1"}\n'
        "another program's line {\n"
        '{"time_s": 1.5, "vm": "vm1", "level": "info", "part": "jobs",'
        ' "event": "accepted", "job": "j1"}\n'
    )
    second.write_text(
        '{"time_s": 2.0, "vm": "vm2", "level": "info", "part": "runner",'
        ' "event": "yielded", "job": "j1", "item": "i1"}\n'
        '{"time_s": 2.1, "vm": "vm2", "level": "info", "part": "runner",'
        ' "event": "yielded", "job": "j2"}\n'
    )
    assert run(monkeypatch, "explain", "j1", str(first), str(second)) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split(":")[0].split()[-1] for line in lines] == [
        "accepted",
        "yielded",
        "listed",
    ]
    assert lines[1].startswith("2.0 vm2 info runner yielded: job=j1 item=i1")
    assert run(monkeypatch, "explain", "none", str(first)) != 0
    assert run(monkeypatch, "explain", "j1", str(tmp_path / "no")) != 0
