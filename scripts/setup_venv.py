"""Create the virtual environment: pinned libraries and our packages."""

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
    """Run a command in the repository's root and stop on failure."""
    subprocess.run(args, cwd=ROOT, check=True)


def main() -> None:
    """Install into the folder named by the first argument."""
    target = ROOT / sys.argv[1]
    python = str(target / "bin" / "python")
    if not Path(python).exists():
        venv.create(target, with_pip=True)
    constraints = ["--constraint", "constraints.txt"]
    run(python, "-m", "pip", "install", "--quiet", *constraints, "uv")
    editable = [arg for package in PACKAGES for arg in ("--editable", package)]
    run(
        str(target / "bin" / "uv"),
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
    # Agents run with -OO. Without cached bytecode of that level, a start took
    # 2.3 s instead of a fraction, and its peak memory was over the limit.
    compile_level = [python, "-m", "compileall", "-q", "-o", "0", "-o", "2"]
    run(
        *compile_level,
        "-j",
        "0",
        "-x",
        "/tests?/",
        str(target / "lib"),
        "packages",
        "platform",
    )


if __name__ == "__main__":
    main()
