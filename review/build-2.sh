#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10. They are Python scripts of the standard library and run with the
# interpreter that the build of deploy/balancer.toml has made, so there is nothing to compile: this checks that
# the interpreter is there and that it can read them.
cd "$(dirname "$0")/.." && exec .venv/bin/python -B -c '
import ast, pathlib, sys
for path in sorted([*pathlib.Path("review/common-2").glob("*.py"), *pathlib.Path("review").glob("[6-9]/*.py"),
                    *pathlib.Path("review").glob("10/*.py")]):
    ast.parse(path.read_text(), str(path))
assert sys.version_info >= (3, 11)
'
