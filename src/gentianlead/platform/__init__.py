"""Adapters between the users' platform and the interfaces of this project.

This package alone knows the platform's protocols, field names and settings
file. It translates them from and to the types of `ports` and `model` and makes
no scheduling decisions.
"""

from gentianlead.platform._callers import CallerServer
from gentianlead.platform._configuration import CONFIGURATION_KEY
from gentianlead.platform._configuration import EVACUATION_KEY_PREFIX
from gentianlead.platform._configuration import OPERATOR_TOPIC
from gentianlead.platform._configuration import parse_configuration
from gentianlead.platform._jobs import format_job_state
from gentianlead.platform._jobs import format_task_name
from gentianlead.platform._jobs import is_job_id
from gentianlead.platform._jobs import parse_submission
from gentianlead.platform._jobs import parse_task_name
from gentianlead.platform._permits import PlatformPermitService
from gentianlead.platform._registry import clear_report_counters
from gentianlead.platform._registry import parse_worker_entry
from gentianlead.platform._registry import REGISTRY_TOPIC
from gentianlead.platform._settings import DaemonSettings
from gentianlead.platform._settings import parse_settings
from gentianlead.platform._settings import read_settings
from gentianlead.platform._settings import SETTINGS_PATH_VARIABLE
from gentianlead.platform._store import PlatformStore
from gentianlead.platform._store import StoreLimits
from gentianlead.platform._timeouts import DelayTolerantTimeout
from gentianlead.platform._workers import PlatformWorkerClient
