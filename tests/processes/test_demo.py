import re
import subprocess
import sys

import pytest

pytestmark = pytest.mark.processes


def test_the_demo_ends_with_nothing_wrong_lost_or_repeated():
    command = [sys.executable, "-m", "magnoliatrail", "demo"]
    result = subprocess.run(command, check=False, capture_output=True, text=True)
    last_line = result.stdout.splitlines()[-1]
    assert re.fullmatch(
        r"demo: 390 answered, 0 wrong, 0 lost, 0 repeated", last_line
    ), result.stdout + result.stderr
    assert result.returncode == 0
