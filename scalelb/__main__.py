"""The command line: `python -m scalelb`.  Each part is loaded only when it is asked for."""

from __future__ import annotations

import sys


def main() -> int:
    """Run one command."""
    try:
        import click
    except ImportError:
        print("the command line needs its extra: pip install -r requirements-lab.txt", file=sys.stderr)
        return 2
    from scalelb.lab.cli import lab

    group = click.Group("scalelb", help="A limiter for a fleet of servers that many customers share.")
    group.add_command(lab)
    group(prog_name="python -m scalelb")
    return 0


if __name__ == "__main__":
    sys.exit(main())
