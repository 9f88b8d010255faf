"""Join a node to the users' platform."""

from jayflow.connection import member as members
from jayflow.platform import configuration
from jayflow.platform import headers
from jayflow.platform import heartbeat
from jayflow.platform import store
from jayflow.process import boundary
from jayflow.version import snapshot

METADATA = boundary.Boundary(
    dialect=headers.DIALECT,
    open_store=store.MetadataStore.from_settings,
    announce_app=heartbeat.App.from_settings,
    prefixes=(snapshot.HEAD_KEY, members.PREFIX),
    read_version=configuration.version_reader,
)
