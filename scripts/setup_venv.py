"""Create the virtual environment with pinned libraries and our packages."""

import subprocess
import sys
import venv
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGES = ["packages/core", "packages/daemon", "packages/cli", "platform"]
DEV_LIBRARIES = [
    "hypothesis",
    "import-linter",
    "minicheck",
    "mypy",
    "pytest",
    "pytest-xdist",
    "ruff",
    "setuptools",
    "trustme",
    "types-PyYAML",
]


def run(*args: str) -> None:
    """Run a command in the repository root; raise if it fails."""
    subprocess.run(args, cwd=ROOT, check=True)


def main() -> None:
    """Install into the folder given as the first argument."""
    venv_folder = ROOT / sys.argv[1]
    python = str(venv_folder / "bin" / "python")
    if not Path(python).exists():
        venv.create(venv_folder, with_pip=True)
    constraints = ["--constraint", "constraints.txt"]
    run(python, "-m", "pip", "install", "--quiet", *constraints, "uv")
    editable = [arg for package in PACKAGES for arg in ("--editable", package)]
    run(
        str(venv_folder / "bin" / "uv"),
        "pip",
        "install",
        "--quiet",
        "--python",
        python,
        "--build-constraint",
        "constraints.txt",
        *constraints,
        *editable,
        *DEV_LIBRARIES,
    )
    # Agents run with -OO. Without cached bytecode for that level, start-up
    # takes 2.3 s instead of a fraction of a second, and its peak memory is
    # over the limit.
    compile_command = [python, "-m", "compileall", "-q", "-o", "0", "-o", "2"]
    run(
        *compile_command,
        "-j",
        "0",
        "-x",
        "/tests?/",
        str(venv_folder / "lib"),
        "packages",
        "platform",
    )


if __name__ == "__main__":
    main()
