"""Entry point of the program, also as ``python -m lovageway``."""

import sys
from pathlib import Path


def main() -> None:
    """Run the command line; `serve --config FILE` runs without importing its libraries."""
    match sys.argv[1:]:
        case ["serve", "--config", path] if not path.startswith("-"):
            from lovageway import serving

            sys.exit(serving.run(Path(path)))
        case _:
            from lovageway import cli

            cli.app()


if __name__ == "__main__":
    main()
