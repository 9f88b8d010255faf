"""Run the command line with python -m jayflow."""

import sys

from jayflow import cli

if __name__ == '__main__':
    sys.exit(cli.main())
