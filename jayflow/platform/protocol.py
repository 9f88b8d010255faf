"""Constants of the platform's protocol.

Only this package and the emulator may contain the platform's own names of
headers, paths and fields. Header names are in lower case.
"""

REQUEST_ID = b'jayflow-request-id'
SIGNATURE = b'jayflow-server-signature'
EXPECTED_INSTANCE = b'jayflow-expected-instance'
INSTANCE_ID = b'jayflow-instance-id'
NOT_EXECUTED = b'jayflow-not-executed'
SERVER_LOAD = b'jayflow-server-load'
SERVER_LIMIT = b'server-limit'
SERVER_LEAVING = b'server-leaving'
COLD_MS = b'jayflow-cold-ms'
CALLER_SERVICE = b'jayflow-caller-service'
CREDENTIAL = b'jayflow-credential'
TENANT = b'jayflow-tenant'
CONTENT_ENCODING = b'content-encoding'

STORE_ERA = b'store-era'

HEARTBEAT_PATH = '/Instances.Heartbeat/'
DEREGISTER_PATH = '/Instances.Deregister/'

OBJECTS_PATH = '/objects/'
CONFIG_KIND = 'config'
CONFIG_NAME = 'main'
# The kind that jayflow itself writes, one object for each node.
NODES_KIND = 'jayflow-nodes'
# Written by the operator, one object for each evacuated data centre.
EVACUATIONS_KIND = 'evacuations'

STATE_READY = 'ready'
STATE_DRAINING = 'draining'
TYPE_DOWNLOAD = 'download'
# Types of routes whose requests may run more than once.
IDEMPOTENT_TYPES = frozenset({'idempotent', TYPE_DOWNLOAD})
