"""Estimate how long the requests of each policy take.

Short and long requests share servers, so the mean over all requests would
make each long one look slow; the means are kept for each policy.
"""

import dataclasses

from jayflow.request.decisions import routing
from jayflow.request.decisions import slowdowns
from jayflow.version import objects

SMOOTHING = 0.05
# Used up to the first measured time in service.
INITIAL_SMOOTHING = 0.5
# The first estimate of the time in service, as a share of the latency
# target; without a target, INITIAL_SERVICE_S.
INITIAL_TARGET_SHARE = 0.4
INITIAL_SERVICE_S = 0.1


@dataclasses.dataclass
class _Means:
    service_s: float
    response_bytes: float = 0.0
    has_sample: bool = False


class WorkEstimates:
    """Keep moving means of the time in service and response size."""

    def __init__(self) -> None:
        self._means: dict[objects.PolicyName, _Means] = {}

    def expected_work(self, policy: objects.Policy) -> routing.Work:
        """Return what a request of a policy is expected to take."""
        means = self._means_of(policy)
        return routing.Work(means.service_s, means.response_bytes)

    def record(
        self,
        policy: objects.Policy,
        service_s: float,
        slowness: float,
        response_bytes: int,
    ) -> None:
        """Update the means with a served request.

        The time in service of a slow server is ignored: it isn't known for
        how much of that time the server was slow.
        """
        means = self._means_of(policy)
        weight = SMOOTHING if means.has_sample else INITIAL_SMOOTHING
        means.response_bytes += weight * (
            response_bytes - means.response_bytes
        )
        if slowness < slowdowns.SLOW_THRESHOLD:
            means.has_sample = True
            means.service_s += weight * (service_s - means.service_s)

    def _means_of(self, policy: objects.Policy) -> _Means:
        means = self._means.get(policy.name)
        if means is None:
            initial_s = policy.latency_target * INITIAL_TARGET_SHARE
            means = _Means(initial_s or INITIAL_SERVICE_S)
            self._means[policy.name] = means
        return means
