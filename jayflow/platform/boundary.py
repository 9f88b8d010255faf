"""Join a node to the users' platform."""

from jayflow.connection import member as members
from jayflow.platform import configuration
from jayflow.platform import headers
from jayflow.platform import heartbeat
from jayflow.platform import store
from jayflow.process import boundary
from jayflow.version import snapshot

# A watch can hang on a store that went silent; it ends before a change that
# was made meanwhile is due everywhere.
WATCH_WAIT_S = 3.0

METADATA = boundary.Boundary(
    dialect=headers.DIALECT,
    open_store=store.MetadataStore.from_settings,
    announce_app=heartbeat.App.from_settings,
    prefixes=(snapshot.HEAD_KEY, members.PREFIX),
    watch_wait_s=WATCH_WAIT_S,
    has_duties=True,
    read_version=configuration.version_reader,
)
