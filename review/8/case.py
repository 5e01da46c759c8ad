"""Another daemon answers 410 to the cancelling of a job, which then runs."""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import late_acceptance  # pylint: disable=wrong-import-position
import world  # pylint: disable=wrong-import-position

if __name__ == "__main__":
    sys.exit(
        world.run_case(
            lambda site: late_acceptance.check_cancelled_job(site, 1),
            lambda: world.World(workers_per_zone=8), FOLDER))
