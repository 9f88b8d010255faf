"""Run the command line as python -m jayflow."""

import sys

from jayflow import cli

if __name__ == '__main__':
    sys.exit(cli.main())
