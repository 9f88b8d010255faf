"""Apply the platform's objects: member records and configuration versions."""

from collections.abc import Callable
import time

import msgspec

from jayflow.connection import codec
from jayflow.connection import member as members
from jayflow.connection import platform as api
from jayflow import logs
from jayflow import metrics as metrics_module
from jayflow.process import member_directory
from jayflow.version import snapshot

# Decodes a version that is published as one object; None if versions are
# published as a manifest and parts.
DecodeVersion = Callable[[bytes], snapshot.Version] | None
_manifest = msgspec.msgpack.Decoder(snapshot.Manifest)


class PlatformObjects:
    """Decode objects and apply them to the directory and the version."""

    def __init__(
        self,
        platform: api.Platform,
        directory: member_directory.MemberDirectory,
        active_version: member_directory.ActiveVersion,
        metrics: metrics_module.Metrics,
        decode_version: DecodeVersion,
    ) -> None:
        self._platform = platform
        self._directory = directory
        self._active_version = active_version
        self._metrics = metrics
        self._decode_version = decode_version
        self._own_key = members.KEY_PREFIX + directory.node
        self._pending: snapshot.Manifest | None = None
        # Number of the version that the store holds, None if it is unknown.
        self.stored_version: int | None = None
        self._log = logs.get_logger(logs.Component.PLATFORM)

    def forget_version(self) -> None:
        """Forget which version the store holds."""
        self.stored_version = None

    def apply(self, entry: api.Entry) -> bool:
        """Apply an object; return whether it is valid.

        One that another writer left may be malformed.
        """
        if entry.key == snapshot.MANIFEST_KEY:
            self.forget_version()
        try:
            if entry.key == snapshot.MANIFEST_KEY and self._decode_version:
                version = self._decode_version(entry.value)
                self.stored_version = version.number
                self._active_version.apply(version, entry.value)
            elif entry.key == snapshot.MANIFEST_KEY:
                manifest = codec.decode_message(_manifest, entry.value)
                self.stored_version = manifest.number
                if manifest.number > self._active_version.current.number:
                    self._pending = manifest
            elif entry.key.startswith(members.KEY_PREFIX):
                member = members.Member.decode(entry.value)
                if member.key != entry.key:
                    raise msgspec.ValidationError(
                        'member object is stored under the key of another node'
                    )
                if entry.key != self._own_key:
                    self._directory.put_from_listing(member, time.monotonic())
        except ValueError as exc:
            self._metrics.count_event(metrics_module.Event.CONFIG_REJECTED)
            self._log.error(
                'Platform object is malformed.',
                key=entry.key,
                error=str(exc),
            )
            return False
        return True

    async def fetch_pending(self) -> None:
        """Fetch and apply the version of the last manifest, if it is new."""
        manifest, parts = self._pending, []
        if manifest is None:
            return
        for digest in manifest.parts:
            entry = await self._platform.get(snapshot.part_key(digest))
            parts.append(entry.value if entry else b'')
        try:
            self._active_version.apply(
                snapshot.Version.from_parts(manifest, parts)
            )
        except (snapshot.CorruptPartError, msgspec.DecodeError) as exc:
            self._metrics.count_event(metrics_module.Event.CONFIG_REJECTED)
            self._log.error(
                'Configuration version is corrupt.', error=str(exc)
            )
        self._pending = None
