"""Invalid options of the experiments' commands."""

from cleo.testers import command_tester
import pytest

from bench import experiments
from bulrushdeal import errors


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        ("--profile none", "--profile must be one of"),
        ("--daemon batch-yields", "--daemon must be SETTING=VALUE"),
        ("--seconds soon", "--seconds must be a number"),
        ("--seed x", "--seed must be a number"),
    ],
)
@pytest.mark.parametrize(
    "kind",
    [
        experiments.HarmCommand,
        experiments.NoisyCommand,
        experiments.OnlineCommand,
    ],
)
def test_an_invalid_option_is_reported_before_a_process_starts(
    monkeypatch: pytest.MonkeyPatch,
    kind: type[experiments.ExperimentCommand],
    arguments: str,
    message: str,
) -> None:
    """Invalid options were found only after all daemons had started.

    Some of them ended the command with a traceback. `Fleet` is removed here,
    so a command that starts a process fails.
    """
    monkeypatch.delattr("standins.fleet.Fleet")
    with pytest.raises(errors.UserError, match=message):
        command_tester.CommandTester(kind()).execute(arguments)
