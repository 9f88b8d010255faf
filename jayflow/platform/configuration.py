"""Decode the operator's configuration into a product version."""

from collections.abc import Callable
from typing import Any

import msgspec

from jayflow.platform import wire
from jayflow.process import settings
from jayflow.version import objects
from jayflow.version import snapshot

DEFAULT_TRIES = 2
# Only the deadline bounds how long a request may wait for a slot.
QUEUE_LENGTH = 1000
# A route without a timeout is bounded by the caller's own deadline.
NO_TIMEOUT_S = 3600.0
_YES, _NO = objects.Idempotency.YES, objects.Idempotency.NO


class _Table(msgspec.Struct):
    """Hold rows of values in the order of the columns; null is omitted."""

    columns: list[str]
    rows: list[list[Any]]

    def records(self, kind: type) -> list:
        """Return each row as a record."""
        return [
            msgspec.convert(
                {
                    name: value
                    for name, value in zip(self.columns, row, strict=True)
                    if value is not None
                },
                type=kind,
            )
            for row in self.rows
        ]


class _Part(msgspec.Struct):
    service: str
    weight: int


class _Route(msgspec.Struct):
    name: str
    hostname: str
    path_prefix: str
    # Says what may be repeated, not what kind of content is served.
    type: str
    service: str = ''
    timeout_s: float = NO_TIMEOUT_S
    target_latency_s: float = 0.0
    priority: int = 0
    max_attempts: int = DEFAULT_TRIES
    traffic_split: list[_Part] = []


class _Service(msgspec.Struct):
    name: str
    health_check_path: str = '/'
    max_connections: int = 0


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class _Config(msgspec.Struct):
    # "r" and a number; versions compare as the numbers do.
    version: str
    routes: _Table
    services: _Table
    limits: _Limits | None = None


def version_reader(
    cfg: settings.Settings,
) -> Callable[[bytes], snapshot.Version]:
    """Return a reader of versions; ValueError for what is garbled."""

    def read(data: bytes) -> snapshot.Version:
        said = msgspec.json.decode(data, type=_Config)
        number = snapshot.VersionNumber(int(said.version.removeprefix('r')))
        routes = said.routes.records(_Route)
        services = said.services.records(_Service)
        share = cfg.retry_share or objects.DEFAULT_RETRY_SHARE
        return snapshot.Version(
            number,
            objects.Objects(
                region={
                    name: objects.Region(name) for name in cfg.regions.values()
                },
                data_centre={
                    name: objects.DataCentre(name, region)
                    for name, region in cfg.regions.items()
                },
                policy={each.name: _policy(each, share) for each in routes},
                service={
                    each.name: objects.Service(
                        each.name,
                        objects.PolicyName(''),
                        each.health_check_path,
                        each.max_connections,
                    )
                    for each in services
                },
                route={each.name: _route(each) for each in routes},
                limits=_limits(said.limits),
            ),
        )

    return read


def _route(said: _Route) -> objects.Route:
    split = tuple(
        objects.Part(part.service, part.weight) for part in said.traffic_split
    )
    return objects.Route(
        name=said.name,
        host=said.hostname.lower(),
        path=said.path_prefix,
        service=said.service or split[0].service,
        idempotent=_NO if said.type == wire.TYPE_NON_IDEMPOTENT else _YES,
        key=objects.KeyRule.IGNORED,
        split=split,
        policy=objects.PolicyName(said.name),
    )


def _policy(said: _Route, retry_share: float) -> objects.Policy:
    is_bulk = said.type == wire.TYPE_DOWNLOAD
    kind = objects.RequestClass
    return objects.Policy(
        name=objects.PolicyName(said.name),
        request_class=kind.BULK if is_bulk else kind.INTERACTIVE,
        deadline=said.timeout_s,
        try_timeout=said.timeout_s,
        tries=said.max_attempts,
        retry_share=retry_share,
        queue_length=QUEUE_LENGTH,
        queue_time=said.timeout_s,
        latency_target=said.target_latency_s,
        priority=said.priority,
    )


def _limits(said: _Limits | None) -> objects.Limits:
    if said is None:
        return objects.Limits()
    return objects.Limits(
        said.max_header_bytes,
        said.max_body_bytes,
        said.header_timeout_s,
        said.idle_timeout_s,
    )
