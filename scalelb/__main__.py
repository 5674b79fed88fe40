"""The command line, `python -m scalelb`. Its optional dependencies are imported only when it runs."""

from __future__ import annotations

import sys


def main() -> int:
    """Run one command; return the exit status."""
    try:
        import click
    except ImportError:
        print(
            "the command line needs optional dependencies: pip install -r requirements-lab.txt",
            file=sys.stderr,
        )
        return 2
    from scalelb.lab.cli import lab

    group = click.Group("scalelb", help="A rate limiter for fleets that many tenants share.")
    group.add_command(lab)
    group(prog_name="python -m scalelb")
    return 0


if __name__ == "__main__":
    sys.exit(main())
