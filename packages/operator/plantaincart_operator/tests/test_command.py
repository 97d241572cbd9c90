from json import loads
from pathlib import Path

import pytest
from plantaincart_operator.command import app, run_command
from plantaincart_operator.exit_code import ExitCode
from plantaincart_operator.output import Output
from plantaincart_operator.system_command import show_key, show_status
from plantaincart_operator.tests.conftest import StubSystem, find_free_port
from plantaincart_router.event import LogEvent, format_line
from plantaincart_schema.codec import encode_json
from plantaincart_schema.generated.platform import ShardLease, Transaction, Write
from plantaincart_schema.generated.status import KeyStatus

COMMANDS = [
    "settings check",
    "declarations check",
    "declarations apply",
    "sheet check",
    "sheet apply",
    "sheet show",
    "sheet history",
    "status",
    "key",
    "timeline",
    "where",
]
SHEET = "kind,name,action\nplanet,x,out\ndata_centre,,out\n"


@pytest.mark.parametrize("command", ["", *COMMANDS])
def test_help(command: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert run_command([*command.split(), "--help"]) == ExitCode.OK
    printed = capsys.readouterr().out
    assert "Usage" in printed
    assert "Exit codes" in printed
    assert app is not None


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["nothing"], ExitCode.USAGE),
        (["status"], ExitCode.USAGE),
        (["settings", "check"], ExitCode.USAGE),
        (["settings", "check", "{folder}/absent"], ExitCode.USAGE),
        (["settings", "check", "{folder}/bad.toml"], ExitCode.REFUSED),
        (["declarations", "check", "{folder}/bad.toml"], ExitCode.REFUSED),
        (["sheet", "check", "{folder}/bad.csv"], ExitCode.REFUSED),
        (["sheet", "check", "{folder}/latin.csv"], ExitCode.REFUSED),
        (["sheet", "check", "{folder}/good.csv"], ExitCode.OK),
        (["status", "--platform", "{folder}/bad.toml"], ExitCode.REFUSED),
        (["status", "--platform", "{folder}/down.toml"], ExitCode.UNAVAILABLE),
        (
            ["sheet", "apply", "{folder}/good.csv", "--platform", "{folder}/down.toml"],
            ExitCode.UNAVAILABLE,
        ),
        (["timeline", "{folder}"], ExitCode.USAGE),
        (["where"], ExitCode.USAGE),
        (["where", "h:x", "GET", "http://a/"], ExitCode.USAGE),
        (["where", "h:70000", "GET", "http://a/"], ExitCode.USAGE),
        (["where", ",", "GET", "http://a/"], ExitCode.USAGE),
        (["where", "h", "GET", "/path"], ExitCode.USAGE),
        (["where", "h", "GET", "http://a/", "--header", "x"], ExitCode.USAGE),
        (["where", "h", "GET", "http://a/", "--header", "x: å"], ExitCode.USAGE),
    ],
)
def test_exit_codes(arguments: list[str], code: ExitCode, tmp_path: Path) -> None:
    (tmp_path / "bad.toml").write_text("platform = 1\nother = 2\n")
    (tmp_path / "bad.csv").write_text(SHEET)
    (tmp_path / "good.csv").write_text("kind,name,action\ndata_centre,x,out\n")
    (tmp_path / "latin.csv").write_bytes("kind,name,action\nå".encode("latin-1"))
    down = f'[platform]\ntable_host = "127.0.0.1"\ntable_port = {find_free_port()}\n'
    (tmp_path / "down.toml").write_text(down)
    command_line = [argument.format(folder=tmp_path) for argument in arguments]
    assert run_command(command_line) == code


def test_all_errors_as_json(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "day.csv"
    path.write_text(SHEET)
    assert run_command(["sheet", "check", str(path), "--output", "json"]) == 1
    problems = loads(capsys.readouterr().out)["problems"]
    places = [problem["place"] for problem in problems]
    assert places == ["row 2, column kind", "row 3, column name"]
    assert all(problem["allowed"] for problem in problems)


async def test_status(
    stub_system: StubSystem, capsys: pytest.CaptureFixture[str]
) -> None:
    await stub_system.add_instance("i1", 1)
    await stub_system.add_instance("i2", 1, unreachable=True)
    lease = ShardLease(
        service="ledger",
        shard=0,
        leader="i9",
        incarnation="x",
        epoch=4,
        assignment_version=2,
        successors=[],
        assignments=[],
    )
    write = Write(key="shards/ledger/0", value=encode_json(lease))
    stub_system.state.rows.commit(
        Transaction(write_id="w", conditions=[], writes=[write])
    )
    assert (
        await show_status(platform=stub_system.path, output=Output.JSON) == ExitCode.OK
    )
    report = loads(capsys.readouterr().out)
    assert [bool(entry["status"]) for entry in report["instances"]] == [True, False]
    assert report["shards"][0]["leader"] == "i9"
    assert await show_status(platform=stub_system.path) == ExitCode.OK
    printed = capsys.readouterr().out
    assert "ledger/0" in printed
    assert "ConnectFailedError" in printed


async def test_key_is_answered_by_leader(
    stub_system: StubSystem, capsys: pytest.CaptureFixture[str]
) -> None:
    def describe(owner: str) -> KeyStatus:
        return KeyStatus(
            service="ledger", key="k", slot=3, shard=0, leader="i2", owner=owner
        )

    await stub_system.add_instance("i0", 1, unreachable=True)
    await stub_system.add_instance("i1", 1, describe(""))
    leader = await stub_system.add_instance("i2", 1, describe("north-1"))
    arguments = ("ledger", "k")
    code = await show_key(*arguments, platform=stub_system.path, output=Output.JSON)
    report = loads(capsys.readouterr().out)
    assert code == ExitCode.OK
    assert (report["asked"], report["status"]["owner"]) == ("i2", "north-1")
    leader.key = None
    assert await show_key(*arguments, platform=stub_system.path) == ExitCode.OK
    assert "answered by i1" in capsys.readouterr().out


def test_timeline(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    def write(name: str, *events: tuple[int, str, dict[str, str]]) -> None:
        lines = [
            format_line(
                LogEvent(
                    clock=clock,
                    time=f"2026-01-01T00:00:0{clock}.000+00:00",
                    instance=name,
                    incarnation="x",
                    event=event,
                    fields=fields,
                )
            )
            for clock, event, fields in events
        ]
        (tmp_path / f"{name}.log").write_text("\n".join([*lines, ""]))

    shard = {"service": "ledger", "shard": "0", "request": "r1"}
    write("i1", (1, "claimed", shard), (4, "lost", shard))
    write("i2", (2, "granted", {"shard": "ledger/0"}), (3, "received", {}))
    (tmp_path / "i3.log").write_text("not an event\n")

    def list_events(*filters: str) -> list[str]:
        arguments = ["timeline", str(tmp_path), "--output", "json", *filters]
        assert run_command(arguments) == ExitCode.OK
        report = loads(capsys.readouterr().out)
        assert len(report["malformed"]) == 1
        return [event["event"] for event in report["events"]]

    assert list_events() == ["claimed", "granted", "received", "lost"]
    assert list_events("--shard", "ledger/0") == ["claimed", "granted", "lost"]
    assert list_events("--service", "ledger", "--shard", "0", "--event", "lost") == [
        "lost"
    ]
    assert list_events("--request", "r1", "--instance", "i1") == ["claimed", "lost"]
    window = ["--since", "2026-01-01T00:00:02", "--until", "2026-01-01T00:00:03"]
    assert list_events(*window) == ["granted", "received"]
    assert run_command(["timeline", str(tmp_path)]) == ExitCode.OK
    assert "1 malformed lines" in capsys.readouterr().out
