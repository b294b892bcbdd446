import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.groups import ONE_BY_ONE, group_of

ROOT = Path(__file__).resolve().parent.parent.parent
TESTS = sorted((ROOT / "tests").rglob("test_*.py"))


# Guards against tests with processes beside each other, which take their cores.
def test_every_file_whose_tests_start_daemons_is_in_the_group():
    mark = "\npytestmark = pytest.mark.processes\n"
    marked = [path for path in TESTS if mark in path.read_text()]
    assert marked
    for path in marked:
        name = f"{path.relative_to(ROOT)}::test"
        assert group_of(name) == "one by one", name


@pytest.mark.parametrize("path", ONE_BY_ONE)
def test_what_the_group_names_exists(path):
    assert (ROOT / path).exists()


ENTRY = "\ntest: {test}\ncommand: c\nseen: s\nissue: 1\n"
REDS = ("tests/soak/test_few.py::test_red", "tests/test_few.py::test_red")
FEW_TESTS = """
import os

def test_red(): assert {passes}

def test_worker():
    with open("workers", "a") as file:
        print(os.environ["PYTEST_XDIST_WORKER"], file=file)
"""


# Guards against workers that part a group, or that know other red tests than one does.
@pytest.mark.parametrize(
    ("passes", "code", "counts"),
    [
        ((False, False), 0, "4 passed, 2 xfailed"),
        ((True, False), 1, "1 failed, 4 passed, 1 xfailed"),
        ((False, True), 1, "1 failed, 4 passed, 1 xfailed"),
    ],
)
def test_workers_run_a_group_on_one_and_expect_the_red_tests(
    tmp_path, monkeypatch, passes, code, counts
):
    shutil.copy(ROOT / "pyproject.toml", tmp_path)
    for folder in ("soak", "processes"):
        (tmp_path / "tests" / folder).mkdir(parents=True)
        (tmp_path / "tests" / folder / "__init__.py").touch()
    for name in ("__init__.py", "conftest.py", "known_red.py", "groups.py"):
        shutil.copy(ROOT / "tests" / name, tmp_path / "tests")
    grouped, plain = (FEW_TESTS.format(passes=item) for item in passes)
    (tmp_path / "tests" / "soak" / "test_few.py").write_text(grouped)
    others = grouped.replace("test_red", "check_red")
    for number in range(2):
        path = tmp_path / "tests" / "processes" / f"test_{number}.py"
        path.write_text(others)
    (tmp_path / "tests" / "test_few.py").write_text(
        plain.replace("workers", "other-workers")
    )
    entries = "".join(ENTRY.format(test=test) for test in REDS)
    (tmp_path / "KNOWN-RED.txt").write_text(f"Listed.\n{entries}")
    monkeypatch.delenv("PYTEST_ADDOPTS", raising=False)
    found = subprocess.run(
        [sys.executable, "-m", "pytest", "-n", "2"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=False,
    )
    lines = found.stdout.splitlines()
    closing = lines[-1].partition(" in ")[0]
    assert (found.returncode, closing) == (code, counts), found.stdout
    assert [lines.count(f"known red: {test} (s)") for test in REDS] == [1, 1]
    workers = (tmp_path / "workers").read_text().split()
    assert len(workers) == 3
    assert len(set(workers)) == 1
