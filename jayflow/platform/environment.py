"""Assemble the environment of a node that runs on the users' platform.

METADATA_STORE is used by nodes whose protocol setting is metadata-store.
"""

from jayflow.connection import member as members
from jayflow.platform import configuration
from jayflow.platform import headers
from jayflow.platform import heartbeat
from jayflow.platform import metadata_store
from jayflow.process import environment
from jayflow.process import evacuations
from jayflow.process import platform_watcher as platform_watchers
from jayflow.version import snapshot

# A watch can hang when the platform stops responding. It times out early
# enough for a version that was published meanwhile to reach all nodes in time.
VERSION_WATCH_TIMEOUT_S = 3.0
# A quarter of the time within which a member whose record has lapsed must be
# listed again.
MEMBER_BATCH_DELAY_S = 0.5
# Nodes that start together have written their records by then, also those on
# slow hosts, and have heard from each other a second later.
MEMBER_RELIST_DELAY_S = 4.0
MEMBER_WATCH_DELAY_S = MEMBER_RELIST_DELAY_S + 1.0
# Most nodes of a fleet that starts have heard of the watchers by then.
EVACUATION_WATCH_DELAY_S = MEMBER_RELIST_DELAY_S + 0.6
# A node that joins has heard from its peers before that. After a restart of
# all nodes, the first ones read a standing evacuation and tell the others.
EVACUATION_FIRST_LIST_DELAY_S = 1.0

METADATA_STORE = environment.Environment(
    dialect=headers.DIALECT,
    open_platform=metadata_store.MetadataStoreClient.from_settings,
    create_control_app=heartbeat.HeartbeatApp.from_settings,
    watched_prefixes=(
        # Nodes also learn new versions from their peers.
        environment.WatchedPrefix(
            snapshot.MANIFEST_KEY,
            VERSION_WATCH_TIMEOUT_S,
            first_relist_delay_s=platform_watchers.RELIST_INTERVAL_S,
        ),
        # Nodes also exchange member records directly, so the watch may lag.
        environment.WatchedPrefix(
            members.KEY_PREFIX,
            batch_delay_s=MEMBER_BATCH_DELAY_S,
            first_relist_delay_s=MEMBER_RELIST_DELAY_S,
            watch_delay_s=MEMBER_WATCH_DELAY_S,
        ),
        # Nodes learn of evacuations from their peers as they subscribe.
        environment.WatchedPrefix(
            evacuations.KEY_PREFIX,
            watch_delay_s=EVACUATION_WATCH_DELAY_S,
            watchers_only=True,
            max_first_list_delay_s=EVACUATION_FIRST_LIST_DELAY_S,
        ),
    ),
    elects_watchers=True,
    create_version_decoder=configuration.create_version_decoder,
)
