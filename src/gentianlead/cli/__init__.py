"""The command-line tool `gentianlead` for operators and submitters of jobs.

The tool sends requests to the operator port of any daemon. Each change carries
an identifier, which the tool generates unless the user gives one. After a lost
reply the tool queries the outcome by this identifier or sends the change again.
"""

from gentianlead.cli._exit_codes import ExitCode
from gentianlead.cli._main import main

__all__ = ["ExitCode", "main"]
