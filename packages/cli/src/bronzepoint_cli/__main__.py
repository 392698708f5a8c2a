"""Entry point: runs the app and translates errors into exit codes."""

import sys

from bronzepoint_cli._app import app
from bronzepoint_cli._errors import CliError


def main() -> None:
    """Run the command line; exits with 0, 1, 2 or 3 as `_errors.ExitCode` says."""
    try:
        app(prog_name="bronzepoint")
    except CliError as exc:
        print(f"bronzepoint: {exc}", file=sys.stderr)
        sys.exit(exc.code)
    except BrokenPipeError:
        # The reader of the pipe, such as head, has closed it. Without this, Python
        # reports another error when it flushes the output at exit.
        sys.stdout = None
        sys.exit(0)


if __name__ == "__main__":
    main()
