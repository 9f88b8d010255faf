"""Define the named configuration objects, which refer to each other.

Operators describe them in INI files, one section for each object.
"""

import enum
from typing import Any, ClassVar, NewType, Self

import msgspec

from jayflow.version import findings as diagnostics
from jayflow.version import inifile
from jayflow.version import value_parsers

ServiceName = NewType('ServiceName', str)
DataCentreName = NewType('DataCentreName', str)
RegionName = NewType('RegionName', str)
PolicyName = NewType('PolicyName', str)
TeamName = NewType('TeamName', str)
# SHA-256 of a team's key, in hexadecimal.
KeyDigest = NewType('KeyDigest', str)

DEFAULT_DEADLINE_S = 2.0
DEFAULT_TRIES = 3
DEFAULT_RETRY_SHARE = 0.08
DEFAULT_QUEUE_LENGTH = 8
DEFAULT_QUEUE_TIME_S = 0.05
DEFAULT_KEY_RETENTION_S = 86400.0
DEFAULT_QUARANTINE_S = 600.0
DEFAULT_SEATS = 32

Field = inifile.Field


class RequestClass(enum.Enum):
    """Classify requests; queued requests are served in this order."""

    INTERACTIVE = 'interactive'
    INTERNAL = 'internal'
    BULK = 'bulk'


# The share of a server's slots that requests of a class may occupy.
MAX_SLOT_SHARE = {
    RequestClass.INTERACTIVE: 1.0,
    RequestClass.INTERNAL: 0.75,
    RequestClass.BULK: 0.5,
}


class Idempotency(enum.Enum):
    """State which of a route's requests are idempotent."""

    BY_METHOD = 'by-method'
    YES = 'yes'
    NO = 'no'


class IdempotencyKeyMode(enum.Enum):
    """State how a route treats the Idempotency-Key header."""

    ACCEPTED = 'accepted'
    REQUIRED = 'required'
    IGNORED = 'ignored'


class DeadlineScope(enum.Enum):
    """Say which part of a response has to arrive within the deadline."""

    HEAD = 'head'
    RESPONSE = 'response'


class _Object(msgspec.Struct, frozen=True):
    """Build a configuration object from its section."""

    FIELDS: ClassVar[tuple[Field, ...]] = ()

    @classmethod
    def from_section(
        cls, section: inifile.Section, findings: diagnostics.Findings
    ) -> Self:
        """Return the object; adds a finding for each invalid value.

        A field with an invalid value has its default.
        """
        values = section.parse_fields(cls.FIELDS, findings)
        return cls(name=section.name, **_to_field_names(values))


def _to_field_names(values: dict[str, Any]) -> dict[str, Any]:
    return {key.replace('-', '_'): value for key, value in values.items()}


class Region(_Object, frozen=True):
    """Describe a region."""

    name: RegionName


class DataCentre(_Object, frozen=True):
    """Describe a data centre and the region that it is in."""

    name: DataCentreName
    region: RegionName

    FIELDS: ClassVar[tuple[Field, ...]] = (
        Field('region', value_parsers.object_name, required=True),
    )


class Link(_Object, frozen=True):
    """Describe the link between two regions and its budgets.

    Capacity and byte budgets are in bytes per second in each direction. The
    monthly budget is in the currency of the price and covers both
    directions. In each region, the nodes that hold one of the seats share
    the region's byte budgets.
    """

    name: str
    regions: tuple[RegionName, ...]
    capacity: float
    traffic_budget: float
    measuring_budget: float
    price_per_gb: float
    monthly_budget: float
    seats: int = DEFAULT_SEATS

    FIELDS: ClassVar[tuple[Field, ...]] = (
        Field('regions', value_parsers.object_names, (), required=True),
        Field('capacity', value_parsers.byte_rate, 0.0, required=True),
        Field('traffic-budget', value_parsers.byte_rate, 0.0, required=True),
        Field('measuring-budget', value_parsers.byte_rate, 0.0, required=True),
        Field('price-per-gb', float, 0.0),
        Field('monthly-budget', float, 0.0),
        Field('seats', value_parsers.positive_int, DEFAULT_SEATS),
    )


class Policy(_Object, frozen=True):
    """Describe how requests of a service are treated.

    Durations are in seconds; retry_share is the number of retries allowed
    per first attempt. A priority replaces the request class as queue order
    and lifts the limit on slots. A latency target of 0 means no target.
    hedge_share is the number of hedges allowed per request; None leaves the
    limit to the node.
    """

    name: PolicyName
    request_class: RequestClass = RequestClass.INTERACTIVE
    deadline: float = DEFAULT_DEADLINE_S
    try_timeout: float = DEFAULT_DEADLINE_S
    tries: int = DEFAULT_TRIES
    retry_share: float = DEFAULT_RETRY_SHARE
    queue_length: int = DEFAULT_QUEUE_LENGTH
    queue_time: float = DEFAULT_QUEUE_TIME_S
    cross_region: bool = True
    key_retention: float = DEFAULT_KEY_RETENTION_S
    quarantine: float = DEFAULT_QUARANTINE_S
    latency_target: float = 0.0
    priority: int | None = None
    deadline_scope: DeadlineScope = DeadlineScope.HEAD
    hedge_share: float | None = None

    FIELDS: ClassVar[tuple[Field, ...]] = (
        Field(
            'request-class',
            value_parsers.enum_value(RequestClass),
            RequestClass.INTERACTIVE,
        ),
        Field('deadline', value_parsers.seconds, DEFAULT_DEADLINE_S),
        Field('try-timeout', value_parsers.seconds, DEFAULT_DEADLINE_S),
        Field('tries', value_parsers.positive_int, DEFAULT_TRIES),
        Field('retry-share', value_parsers.fraction, DEFAULT_RETRY_SHARE),
        Field(
            'queue-length', value_parsers.positive_int, DEFAULT_QUEUE_LENGTH
        ),
        Field('queue-time', value_parsers.seconds, DEFAULT_QUEUE_TIME_S),
        Field('cross-region', value_parsers.yes_or_no, True),
        Field('key-retention', value_parsers.seconds, DEFAULT_KEY_RETENTION_S),
        Field('quarantine', value_parsers.seconds, DEFAULT_QUARANTINE_S),
        Field('latency-target', value_parsers.seconds, 0.0),
        Field('priority', value_parsers.non_negative_int),
        Field(
            'deadline-scope',
            value_parsers.enum_value(DeadlineScope),
            DeadlineScope.HEAD,
        ),
        Field('hedge-share', value_parsers.non_negative_number),
    )

    @property
    def slot_share(self) -> float:
        """Return the share of a server's slots that requests may occupy."""
        if self.priority is not None:
            return 1.0
        return MAX_SLOT_SHARE[self.request_class]

    @property
    def rank(self) -> int:
        """Return the queue priority; the lowest number is served first."""
        if self.priority is not None:
            return self.priority
        return list(RequestClass).index(self.request_class)


class Service(_Object, frozen=True):
    """Describe a service that backend servers announce.

    For cold_start seconds after it has started, a server takes cold_rate
    requests per second from all nodes together; a rate of 0 means no limit.
    """

    name: ServiceName
    policy: PolicyName
    health_path: str = ''
    connections: int = 0
    cold_start: float = 0.0
    cold_rate: float = 0.0

    FIELDS: ClassVar[tuple[Field, ...]] = (
        Field('policy', value_parsers.object_name, required=True),
        Field('health-path', value_parsers.path, ''),
        Field('connections', value_parsers.non_negative_int, 0),
        Field('cold-start', value_parsers.non_negative_seconds, 0.0),
        Field('cold-rate', value_parsers.non_negative_number, 0.0),
    )


class WeightedService(msgspec.Struct, frozen=True):
    """Name one service of a route's split and its weight."""

    service: ServiceName
    weight: float


def _parse_split(text: str) -> tuple[WeightedService, ...]:
    """Return the services of a split such as "shop 90, shop-next 10"."""
    weighted_services = []
    for item in text.split(','):
        service, _, weight = item.strip().partition(' ')
        weighted_services.append(
            WeightedService(
                ServiceName(value_parsers.object_name(service)),
                value_parsers.non_negative_int(weight),
            )
        )
    return tuple(weighted_services)


class Route(_Object, frozen=True):
    """Map a caller's host name and path prefix to a service.

    A split divides the requests among several services by weight. The
    service's policy applies unless the route names one. If the version has
    teams or requires keys, a request needs a team's key unless the route is
    public. Servers in other regions than those named are not used.
    """

    name: str
    host: str
    path: str
    service: ServiceName
    idempotent: Idempotency = Idempotency.BY_METHOD
    key: IdempotencyKeyMode = IdempotencyKeyMode.ACCEPTED
    split: tuple[WeightedService, ...] = ()
    policy: PolicyName = PolicyName('')
    public: bool = False
    regions: tuple[RegionName, ...] = ()

    FIELDS: ClassVar[tuple[Field, ...]] = (
        Field('host', value_parsers.object_name, '', required=True),
        Field('path', value_parsers.path, '/'),
        Field('service', value_parsers.object_name, required=True),
        Field(
            'idempotent',
            value_parsers.enum_value(Idempotency),
            Idempotency.BY_METHOD,
        ),
        Field(
            'key',
            value_parsers.enum_value(IdempotencyKeyMode),
            IdempotencyKeyMode.ACCEPTED,
        ),
        Field('split', _parse_split, ()),
        Field('policy', value_parsers.object_name, ''),
        Field('public', value_parsers.yes_or_no, False),
        Field('regions', value_parsers.object_names, ()),
    )


class Team(_Object, frozen=True):
    """Describe a group of callers who share keys and a limit.

    The rate is in requests per second over all nodes, 0 for no limit; a
    burst adds to it. A priority replaces that of the route's policy.
    """

    name: TeamName
    key_digests: tuple[KeyDigest, ...] = ()
    rate: float = 0.0
    burst: float = 0.0
    priority: int | None = None
    regions: tuple[RegionName, ...] = ()

    FIELDS: ClassVar[tuple[Field, ...]] = (
        Field('key-digests', value_parsers.digests, (), required=True),
        Field('rate', value_parsers.non_negative_number, 0.0),
        Field('burst', value_parsers.non_negative_number, 0.0),
        Field('priority', value_parsers.non_negative_int),
        Field('regions', value_parsers.object_names, ()),
    )


class Limits(msgspec.Struct, frozen=True):
    """Limit what a caller may send; sizes in bytes, durations in seconds."""

    header_bytes: int = 32 * 1024
    body_bytes: int | None = None
    header_timeout: float = 10.0
    idle_timeout: float = 60.0


class ObjectSet(msgspec.Struct, frozen=True):
    """Hold all objects of one configuration version, by kind and name.

    Unless limits_links is false, traffic between regions is allowed only
    within the budget of a link. If requires_keys is true, requests need a
    team's key even while no team is left that could hold one.
    """

    region: dict[RegionName, Region] = {}
    data_centre: dict[DataCentreName, DataCentre] = {}
    link: dict[str, Link] = {}
    policy: dict[PolicyName, Policy] = {}
    service: dict[ServiceName, Service] = {}
    route: dict[str, Route] = {}
    team: dict[TeamName, Team] = {}
    limits: Limits = Limits()
    limits_links: bool = True
    requires_keys: bool = False

    @property
    def has_keys(self) -> bool:
        """Return whether routes that are not public need a team's key."""
        return self.requires_keys or bool(self.team)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of the path."""
        matches = [
            route
            for route in self.route.values()
            if route.host == host and _is_prefix(route.path, path)
        ]
        return max(matches, key=lambda route: len(route.path), default=None)

    def service_policy(self, service: ServiceName) -> Policy:
        """Return the policy of a service; raises KeyError if unknown."""
        return self.policy[self.service[service].policy]

    def route_policy(self, route: Route) -> Policy:
        """Return the policy of a route; raises KeyError if unknown."""
        if route.policy:
            return self.policy[route.policy]
        return self.service_policy(route.service)

    def region_of(self, data_centre: DataCentreName) -> RegionName | None:
        """Return the region of a data centre, None if it is unknown."""
        centre = self.data_centre.get(data_centre)
        return centre.region if centre else None

    def link_between(
        self, region: RegionName, other_region: RegionName
    ) -> Link | None:
        """Return the link between two regions, if any."""
        both_regions = {region, other_region}
        for link in self.link.values():
            if set(link.regions) == both_regions:
                return link
        return None


# The section without a name that holds for all teams.
TEAMS_KIND = 'teams'
TEAMS_FIELDS: tuple[Field, ...] = (
    Field('required', value_parsers.yes_or_no, False),
)
OBJECT_TYPES: dict[str, type[_Object]] = {
    'region': Region,
    'data_centre': DataCentre,
    'link': Link,
    'policy': Policy,
    'service': Service,
    'route': Route,
    'team': Team,
}


def _is_prefix(prefix: str, path: str) -> bool:
    if not path.startswith(prefix):
        return False
    remainder = path[len(prefix) :]
    return prefix.endswith('/') or not remainder or remainder[0] in '/?'
