"""The command that scores the regression sites, with a stand-in for the bench."""

from os import environ
from pathlib import Path
from subprocess import run

from pytest import mark

SCRIPT = Path(__file__).parents[4] / "tools" / "regression.sh"
# Much more than a pipe holds follows the verdict.
BENCH = """#!/bin/sh
echo "GATE {verdict}"
seq 1 20000
echo finished >> {folder}/finished
"""


@mark.parametrize(("verdict", "status"), [("passed", 0), ("failed", 1)])
def test_verdict_of_each_site_counts(verdict: str, status: int, tmp_path: Path) -> None:
    bench = tmp_path / "bench"
    bench.write_text(BENCH.format(verdict=verdict, folder=tmp_path))
    bench.chmod(0o755)
    environment = {**environ, "FLEETBENCH": str(bench), "SITES": str(tmp_path)}
    result = run([str(SCRIPT)], env=environment, capture_output=True, check=False)
    assert result.returncode == status
    sites = (SCRIPT.parents[1] / "deploy" / "regression.txt").read_text().splitlines()
    count = sum(not line.startswith("#") for line in sites)
    assert (tmp_path / "finished").read_text().splitlines() == ["finished"] * count
