"""Decode the operator's configuration into a version of jayflow's objects.

The platform keeps the configuration as one JSON document with a table of
routes and a table of services. The row of a route also holds its timeout,
attempts and priority, which belong to a policy in jayflow, so a row becomes
a route and a policy of the same name.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from jayflow.connection import codec
from jayflow.connection import messages
from jayflow.platform import protocol
from jayflow.process import settings
from jayflow.request.decisions import credentials
from jayflow.version import objects
from jayflow.version import snapshot

DEFAULT_MAX_ATTEMPTS = 2
# The deadline alone bounds how long a request may wait for a slot, so the
# queue may be long.
MAX_QUEUE_LENGTH = 1000
# Stands for no timeout: the requests of a route without one are bounded by
# the caller's own deadline.
DEFAULT_TIMEOUT_S = 3600.0
_YES, _NO = objects.Idempotency.YES, objects.Idempotency.NO


class _Table(msgspec.Struct):
    """Hold rows whose values follow the order of the columns."""

    columns: list[str]
    rows: list[list[Any]]

    def records(self, record_type: type) -> list:
        """Return each row as a struct of the record type.

        A null value counts as missing, so that the field has its default.
        """
        return [
            msgspec.convert(
                {
                    name: value
                    for name, value in zip(self.columns, row, strict=True)
                    if value is not None
                },
                type=record_type,
            )
            for row in self.rows
        ]


class _WeightedService(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    hostname: str
    path_prefix: str
    # Says whether a request may run twice, not which content is served.
    type: str
    service: str = ''
    timeout_s: float = DEFAULT_TIMEOUT_S
    target_latency_s: float = 0.0
    priority: int = 0
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    traffic_split: list[_WeightedService] = []
    public: bool = False
    allowed_regions: list[str] = []


class _Service(msgspec.Struct):
    name: str
    health_check_path: str = '/'
    max_connections: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: list[str] = []


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class _Config(msgspec.Struct):
    # "r" and a number; the numbers order the versions.
    version: str
    routes: _Table
    services: _Table
    limits: _Limits | None = None
    tenants: _Table | None = None


def create_version_decoder(
    cfg: settings.Settings,
) -> Callable[[bytes], snapshot.Version]:
    """Return a function that decodes a configuration into a version.

    The function raises ValueError for a malformed configuration.
    """

    def decode(data: bytes) -> snapshot.Version:
        config = codec.decode_json(data, _Config)
        number = snapshot.VersionNumber(int(config.version.removeprefix('r')))
        if not messages.is_sendable(number):
            raise ValueError(f'version {config.version} is out of range')
        routes = config.routes.records(_Route)
        services = config.services.records(_Service)
        tenants = config.tenants.records(_Tenant) if config.tenants else []
        retry_share = (
            objects.DEFAULT_RETRY_SHARE
            if cfg.retry_share is None
            else cfg.retry_share
        )
        return snapshot.Version(
            number,
            objects.ObjectSet(
                region={
                    name: objects.Region(name) for name in cfg.regions.values()
                },
                data_centre={
                    name: objects.DataCentre(name, region)
                    for name, region in cfg.regions.items()
                },
                policy={
                    route.name: _policy(route, retry_share) for route in routes
                },
                service={
                    service.name: objects.Service(
                        service.name,
                        objects.PolicyName(''),
                        service.health_check_path,
                        service.max_connections,
                        service.cold_start_s,
                        service.cold_per_s,
                    )
                    for service in services
                },
                route={route.name: _route(route) for route in routes},
                team={tenant.name: _team(tenant) for tenant in tenants},
                requires_keys=config.tenants is not None,
                limits=_limits(config.limits),
                # The platform bills traffic between regions by volume and
                # sets no budget.
                limits_links=False,
            ),
        )

    return decode


def _route(route: _Route) -> objects.Route:
    split = tuple(
        objects.WeightedService(target.service, target.weight)
        for target in route.traffic_split
    )
    if not route.service and not split:
        raise ValueError(
            f'route {route.name!r} has neither a service nor a traffic split'
        )
    if split and not any(part.weight > 0 for part in split):
        raise ValueError(
            f'traffic split of route {route.name!r} has no positive weight'
        )
    return objects.Route(
        name=route.name,
        host=route.hostname.lower(),
        path=route.path_prefix,
        service=route.service or split[0].service,
        # An unknown type is not known to be safe to repeat.
        idempotent=_YES if route.type in protocol.IDEMPOTENT_TYPES else _NO,
        key=objects.IdempotencyKeyMode.IGNORED,
        split=split,
        policy=objects.PolicyName(route.name),
        public=route.public,
        regions=tuple(route.allowed_regions),
    )


def _team(tenant: _Tenant) -> objects.Team:
    return objects.Team(
        name=objects.TeamName(tenant.name),
        key_digests=tuple(
            credentials.digest_of(key.encode()) for key in tenant.api_keys
        ),
        rate=tenant.rate_per_s,
        burst=tenant.burst,
        priority=tenant.priority,
        regions=tuple(tenant.allowed_regions),
    )


def _policy(route: _Route, retry_share: float) -> objects.Policy:
    is_bulk = route.type == protocol.TYPE_DOWNLOAD
    classes = objects.RequestClass
    return objects.Policy(
        name=objects.PolicyName(route.name),
        request_class=classes.BULK if is_bulk else classes.INTERACTIVE,
        deadline=route.timeout_s,
        try_timeout=route.timeout_s,
        tries=route.max_attempts,
        retry_share=retry_share,
        queue_length=MAX_QUEUE_LENGTH,
        queue_time=route.timeout_s,
        latency_target=route.target_latency_s,
        priority=route.priority,
        deadline_scope=objects.DeadlineScope.RESPONSE,
    )


def _limits(limits: _Limits | None) -> objects.Limits:
    if limits is None:
        return objects.Limits()
    return objects.Limits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_s,
        limits.idle_timeout_s,
    )
