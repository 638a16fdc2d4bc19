"""Tests of the arguments of the daemon's program."""

import pytest

from bulrushdeald import main


def run(monkeypatch: pytest.MonkeyPatch, *arguments: str) -> object:
    monkeypatch.setattr("sys.argv", ["bulrushdeald", *arguments])
    with pytest.raises(SystemExit) as ended:
        main.main()
    return ended.value.code


@pytest.mark.parametrize(
    "arguments",
    [
        (),
        ("--failure-domain", "north"),
        ("--failure-domain=north",),
        ("serve", "--failure-domain", "north"),
    ],
)
def test_settings_without_a_command_mean_serve(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    arguments: tuple[str, ...],
) -> None:
    # Without `serve`, the program reported an unknown command `north`,
    # because it recognized only `--vm` as a first setting.
    monkeypatch.delenv("BULRUSHDEAL_VM", raising=False)
    assert run(monkeypatch, *arguments) == 2
    assert "--vm: missing" in capsys.readouterr().err


@pytest.mark.parametrize("argument", ["--help", "-h"])
def test_help_lists_the_commands(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    argument: str,
) -> None:
    assert run(monkeypatch, argument) == 0
    assert "Serve callers" in capsys.readouterr().out
