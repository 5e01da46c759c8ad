"""The users' platform: names, formats and calls, translated to the project's.

Nothing here decides. The rest of the project sees the ports and the types of
`model` only.
"""

from gentianlead.platform._callers import CallerServer
from gentianlead.platform._configuration import CONFIGURATION_KEY
from gentianlead.platform._configuration import EVACUATION_PREFIX
from gentianlead.platform._configuration import OPERATOR_TOPIC
from gentianlead.platform._configuration import parse_configuration
from gentianlead.platform._jobs import format_state
from gentianlead.platform._jobs import format_task
from gentianlead.platform._jobs import is_job_id
from gentianlead.platform._jobs import parse_submission
from gentianlead.platform._jobs import parse_task
from gentianlead.platform._permits import PlatformPermits
from gentianlead.platform._registry import parse_entry
from gentianlead.platform._registry import REGISTRY_TOPIC
from gentianlead.platform._settings import NodeSettings
from gentianlead.platform._settings import parse_settings
from gentianlead.platform._settings import read_settings
from gentianlead.platform._settings import SETTINGS_VARIABLE
from gentianlead.platform._store import PlatformStore
from gentianlead.platform._workers import PlatformWorkers
