"""Read and check the settings file of one node process.

All faults of the file are reported together.
"""

import dataclasses
import enum
import ipaddress
import pathlib
from typing import Self

from jayflow.connection import messages
from jayflow import logs
from jayflow.version import findings as config_findings
from jayflow.version import inifile
from jayflow.version import objects
from jayflow.version import value_parsers

# Environment variable that holds the path of the settings file.
SETTINGS_FILE_VARIABLE = 'JAYFLOW_NODE_FILE'
DEFAULT_STOP_LIMIT_S = 600.0
DEFAULT_LEAVE_TIME_S = 1.0
DEFAULT_CALL_DEADLINE_S = 2.0
DEFAULT_CALLS_PER_S = 2
DEFAULT_CLAIMS_PER_S = 10
DEFAULT_MAX_PAUSE_S = 10.0
DEFAULT_ANNOUNCEMENT_TTL_S = 3.0
Field = inifile.Field


class Protocol(enum.Enum):
    """Choose the protocol of the platform and of the backend servers."""

    OWN = 'own'
    METADATA_STORE = 'metadata-store'


FIELDS: dict[str, tuple[Field, ...]] = {
    'node': (
        Field('name', value_parsers.object_name, '', required=True),
        Field('data-centre', value_parsers.object_name, '', required=True),
        Field('http', value_parsers.address, required=True),
        Field('peer', value_parsers.address, required=True),
        Field('announce', value_parsers.address, required=True),
        Field(
            'stop-limit',
            value_parsers.non_negative_seconds,
            DEFAULT_STOP_LIMIT_S,
        ),
        Field('leave-time', value_parsers.seconds, DEFAULT_LEAVE_TIME_S),
        Field('ready', value_parsers.address),
        Field('service', value_parsers.object_name, ''),
        Field('server', value_parsers.address),
        Field(
            'announcement-ttl',
            value_parsers.seconds,
            DEFAULT_ANNOUNCEMENT_TTL_S,
        ),
        Field('fleet-retry-burst', value_parsers.non_negative_number),
        Field('retry-share', value_parsers.non_negative_number),
        Field('hedge-share', value_parsers.non_negative_number),
        Field('crash-strikes', value_parsers.positive_int),
        Field('adaptive-slots', value_parsers.yes_or_no, False),
        # The template leaves these empty where the platform has no bound.
        Field(
            'config-max-age',
            value_parsers.optional(value_parsers.seconds_or_number),
        ),
        Field('strict-revocation', value_parsers.flag, True),
        Field(
            'evacuate-within',
            value_parsers.optional(value_parsers.seconds_or_number),
        ),
    ),
    'platform': (
        Field('address', value_parsers.address, required=True),
        Field('call-deadline', value_parsers.seconds, DEFAULT_CALL_DEADLINE_S),
        Field(
            'calls-per-second', value_parsers.positive_int, DEFAULT_CALLS_PER_S
        ),
        Field(
            'claims-per-second',
            value_parsers.positive_int,
            DEFAULT_CLAIMS_PER_S,
        ),
        Field('protocol', value_parsers.enum_value(Protocol), Protocol.OWN),
        Field('max-pause', value_parsers.seconds, DEFAULT_MAX_PAUSE_S),
    ),
    'logs': (
        Field(
            'format',
            value_parsers.enum_value(logs.Format),
            logs.Format.CONSOLE,
        ),
        Field('level', value_parsers.enum_value(logs.Level), logs.Level.INFO),
    ),
    'metrics': (
        Field('statsd', value_parsers.address),
        Field('address', value_parsers.address),
    ),
    'limits': (
        Field(
            'memory-mb',
            value_parsers.optional(value_parsers.non_negative_number),
        ),
        Field(
            'max-descriptors',
            value_parsers.optional(value_parsers.non_negative_number),
        ),
    ),
}
REGIONS_SECTION = 'regions'
REQUIRED_SECTIONS = ('node', 'platform')
# Sections and keys of the addresses that the node listens on; no two may be
# equal.
_LISTEN_ADDRESSES = (
    ('node', 'http'),
    ('node', 'peer'),
    ('node', 'announce'),
    ('node', 'ready'),
    ('metrics', 'address'),
)


@dataclasses.dataclass(frozen=True)
class Settings:
    """Hold the settings of a node; durations are in seconds."""

    name: messages.NodeId
    data_centre: objects.DataCentreName
    regions: dict[objects.DataCentreName, objects.RegionName]
    http: value_parsers.Address
    peer: value_parsers.Address
    announce: value_parsers.Address
    stop_limit: float
    leave_time: float
    ready: value_parsers.Address | None
    service: objects.ServiceName
    server: value_parsers.Address | None
    announcement_ttl: float
    fleet_retry_burst: float | None
    retry_share: float | None
    hedge_share: float | None
    crash_strikes: int | None
    adaptive_slots: bool
    config_max_age: float | None
    evacuations: bool
    platform: value_parsers.Address
    protocol: Protocol
    call_deadline: float
    calls_per_s: int
    claims_per_s: int
    max_pause: float
    log_format: logs.Format
    log_level: logs.Level
    statsd: value_parsers.Address | None
    metrics: value_parsers.Address | None
    memory_mb: float | None
    max_descriptors: float | None
    file: pathlib.Path | None = None

    @classmethod
    def from_file(cls, path: pathlib.Path) -> Self:
        """Return the settings of a file.

        Raises an ExceptionGroup that holds every fault.
        """
        loaded = cls.from_text(str(path), path.read_text(encoding='utf-8'))
        return dataclasses.replace(loaded, file=path)

    @classmethod
    def from_text(cls, file: str, text: str) -> Self:
        """Return the settings of a text; faults name the file."""
        findings = config_findings.Findings()
        sections = {
            section.title: section
            for section in inifile.parse(file, text, findings)
        }
        values = {
            name: _section_or_default(
                file, name, sections, findings
            ).parse_fields(fields, findings)
            for name, fields in FIELDS.items()
        }
        for title, section in sections.items():
            if title not in FIELDS and title != REGIONS_SECTION:
                findings.add(section.location, 'unknown section')
        if 'node' in sections:
            is_own_protocol = values['platform']['protocol'] is Protocol.OWN
            if is_own_protocol:
                _check_announce_address(
                    sections['node'], values['node'], findings
                )
            _check_listen_addresses(sections, values, findings)
        regions = _read_regions(sections.get(REGIONS_SECTION), findings)
        findings.raise_if_any('settings')
        return cls._from_values(values, regions)

    @classmethod
    def _from_values(
        cls,
        values: dict[str, dict],
        regions: dict[objects.DataCentreName, objects.RegionName],
    ) -> Self:
        node, platform = values['node'], values['platform']
        return cls(
            name=node['name'],
            data_centre=node['data-centre'],
            regions=regions,
            http=node['http'],
            peer=node['peer'],
            announce=node['announce'],
            stop_limit=node['stop-limit'],
            leave_time=node['leave-time'],
            ready=node['ready'],
            service=node['service'],
            server=node['server'],
            announcement_ttl=node['announcement-ttl'],
            fleet_retry_burst=node['fleet-retry-burst'],
            retry_share=node['retry-share'],
            hedge_share=node['hedge-share'],
            crash_strikes=node['crash-strikes'],
            adaptive_slots=node['adaptive-slots'],
            config_max_age=node['config-max-age']
            if node['strict-revocation']
            else None,
            evacuations=node['evacuate-within'] is not None,
            platform=platform['address'],
            protocol=platform['protocol'],
            max_pause=platform['max-pause'],
            call_deadline=platform['call-deadline'],
            calls_per_s=platform['calls-per-second'],
            claims_per_s=platform['claims-per-second'],
            log_format=values['logs']['format'],
            log_level=values['logs']['level'],
            statsd=values['metrics']['statsd'],
            metrics=values['metrics']['address'],
            memory_mb=values['limits']['memory-mb'],
            max_descriptors=values['limits']['max-descriptors'],
        )


def _read_regions(
    section: inifile.Section | None, findings: config_findings.Findings
) -> dict[objects.DataCentreName, objects.RegionName]:
    """Return the region of each data centre that the section lists."""
    if section is None:
        return {}
    fields = [Field(key, value_parsers.object_name) for key in section.values]
    return section.parse_fields(fields, findings)


def _section_or_default(
    file: str,
    name: str,
    sections: dict[str, inifile.Section],
    findings: config_findings.Findings,
) -> inifile.Section:
    section = sections.get(name)
    if section is not None:
        return section
    location = config_findings.Location(file, 1, name)
    if name in REQUIRED_SECTIONS:
        findings.add(location, 'missing section')
        defaults = {field.key: '' for field in FIELDS[name]}
        return inifile.Section(
            name, location, {}, dict.fromkeys(defaults, location)
        )
    return inifile.Section(name, location, {}, {})


def _check_announce_address(
    section: inifile.Section,
    values: dict,
    findings: config_findings.Findings,
) -> None:
    announce = values['announce']
    if announce is not None and not _is_loopback(announce.host):
        location = section.location_of('announce')
        findings.add(location, 'announce: must be a loopback address')


def _check_listen_addresses(
    sections: dict[str, inifile.Section],
    values: dict[str, dict],
    findings: config_findings.Findings,
) -> None:
    key_of: dict[value_parsers.Address, str] = {}
    for title, key in _LISTEN_ADDRESSES:
        address = values[title][key]
        if address is None:
            continue
        if address in key_of:
            text = f'{key}: the same address as {key_of[address]}'
            findings.add(sections[title].location_of(key), text)
        key_of[address] = key


def _is_loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return host == 'localhost'
