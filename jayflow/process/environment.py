"""Describe the environment that a node runs in.

Nodes take the same decisions in every environment. An Environment defines
what differs: the HTTP headers, the protocol of the platform, and the
interface through which backend servers announce themselves.
"""

from collections.abc import Callable
import dataclasses

from jayflow.connection import platform as api
from jayflow import metrics as metrics_module
from jayflow.process import control_api
from jayflow.process import platform_objects
from jayflow.process import platform_watcher as platform_watchers
from jayflow.process import server_registration
from jayflow.process import settings
from jayflow.request import header_dialect

OpenPlatform = Callable[
    [settings.Settings, api.CallBudget, metrics_module.Metrics], api.Platform
]
ControlAppFactory = Callable[
    [
        settings.Settings,
        server_registration.ServerRegistration,
        Callable[[], bytes],
    ],
    Callable,
]
CreateVersionDecoder = Callable[
    [settings.Settings], platform_objects.DecodeVersion
]


@dataclasses.dataclass(frozen=True)
class WatchedPrefix:
    """Name a prefix of platform keys to watch, and the timing of the calls.

    One call waits for changes for at most watch_timeout_s. After a change
    the node waits for batch_delay_s, so that the next call returns several
    changes at once. A node that is not elected to watch lists the prefix
    again after first_relist_delay_s for the first time. No node watches
    within watch_delay_s of its first list. With watchers_only, other nodes
    list the prefix once at most: if they have not heard from a peer what is
    there half to all of max_first_list_delay_s after their start.
    """

    prefix: str
    watch_timeout_s: float = platform_watchers.WATCH_TIMEOUT_S
    batch_delay_s: float = 0.0
    first_relist_delay_s: float = platform_watchers.FIRST_RELIST_DELAY_S
    watch_delay_s: float = 0.0
    watchers_only: bool = False
    max_first_list_delay_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Environment:
    """Hold what a node needs from its environment.

    The first watched prefix is that of the configuration version. If
    elects_watchers is true, a few nodes of each region watch the platform
    and inform the others; otherwise every node watches. The decoder that
    create_version_decoder returns decodes a version that the platform
    stores as one object; without it, the watched object is a manifest that
    names the parts of the version.
    """

    dialect: header_dialect.HeaderDialect
    open_platform: OpenPlatform
    create_control_app: ControlAppFactory
    watched_prefixes: tuple[WatchedPrefix, ...] = (
        WatchedPrefix(platform_watchers.WATCH_PREFIX),
    )
    elects_watchers: bool = False
    create_version_decoder: CreateVersionDecoder | None = None


def _open_http_platform(
    cfg: settings.Settings,
    budget: api.CallBudget,
    metrics: metrics_module.Metrics,
) -> api.Platform:
    return api.HttpPlatform(cfg.platform, budget, metrics, cfg.call_deadline)


STANDALONE = Environment(
    header_dialect.DEFAULT_DIALECT,
    _open_http_platform,
    control_api.ControlApp.from_settings,
)
