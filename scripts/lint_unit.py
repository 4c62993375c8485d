"""Runs clang-tidy over one unit, unless a unit of the same content passed before."""

import hashlib
import json
import pathlib
import shlex
import subprocess
import sys

SETTINGS = pathlib.Path(".clang-tidy")
PASSED = pathlib.Path.home() / ".cache" / "plumdale-lint"


def compile_command(unit: pathlib.Path) -> list[str] | None:
    """Returns the unit's compiler command from the compilation database."""
    entries = json.loads(pathlib.Path("build/compile_commands.json").read_text())
    for entry in entries:
        if pathlib.Path(entry["file"]) == unit.resolve():
            return shlex.split(entry["command"])
    return None


def digest(command: list[str]) -> str:
    """Returns a digest of the preprocessed unit and of the linter's settings."""
    arguments = [word for word in command if not word.endswith("ccache")]
    output = arguments.index("-o")
    arguments = arguments[:output] + arguments[output + 2 :]
    arguments.remove("-c")
    text = subprocess.run([*arguments, "-E", "-C", "-P"], capture_output=True, check=True).stdout
    return hashlib.sha256(text + SETTINGS.read_bytes()).hexdigest()


def main() -> int:
    unit = pathlib.Path(sys.argv[1])
    command = compile_command(unit)
    if command is None:
        print(f"lint: {unit} is in no target")
        return 1
    pass_marker = PASSED / digest(command)
    if pass_marker.exists():
        return 0
    result = subprocess.run(
        ["clang-tidy", "--quiet", "-p", "build", str(unit)], capture_output=True, text=True
    )
    if result.returncode != 0:
        print(result.stdout + result.stderr)
        return 1
    PASSED.mkdir(parents=True, exist_ok=True)
    pass_marker.touch()
    return 0


sys.exit(main())
