"""One proxy's discovery stream without I/O: requests, ACKs and NACKs come in, responses go out.

It implements state of the world and delta after the published description of the xDS transport protocol. Resource types
are known by their URLs, payloads are opaque bytes; what they mean is told by `brookreach.xds.resources`. There is no
queue: the latest state wins, and only what the proxy holds and what it should hold is compared.

Responses are ordered make before break: clusters before their endpoints, these before listeners, routes last. What is
removed goes in the reverse order, once the routes that used it are ACKed. A type has at most one response that is not
ACKed or NACKed: a proxy that doesn't read costs one response a type, whatever changes meanwhile.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from brookreach.xds.messages import (
    CDS,
    RDS,
    TYPE_URL_PREFIX,
    UPDATE_ORDER,
    WILDCARD,
    WILDCARD_TYPES,
    DiscoveryRequest,
    DiscoveryResponse,
    Limits,
    Resource,
    Snapshot,
    StreamRejectedError,
)
from brookreach.xds.subscription import Subscription


class AdsStream:
    """One stream of one proxy.

    Attributes:
        delta: Whether it uses the delta variant instead of state of the world.
        instance_id: Of the server: it makes nonces unlike those of any other instance, also before a restart.
        limits: What the proxy may ask for.
        subscriptions: By type URL, in the order of their first requests.
        nonce_count: Nonces given so far.
        acks: ACKs received.
        nacks: NACKs received.
        stale_requests: Requests whose nonce was not that of the last response.
        acked: Type URL and version of each ACK, until the reader clears the list.
        nacked: Type URL, version and the proxy's text of each NACK, until the reader clears the list.
    """

    def __init__(self, delta: bool, instance_id: str, limits: Limits | None = None):
        self.delta = delta
        self.instance_id = instance_id
        self.limits = limits or Limits()
        self.subscriptions: dict[str, Subscription] = {}
        self.nonce_count = 0
        self.acks = 0
        self.nacks = 0
        self.stale_requests = 0
        self.acked: list[tuple[str, str]] = []
        self.nacked: list[tuple[str, str, str]] = []

    def handle_request(self, request: DiscoveryRequest) -> None:
        """Take a request in.

        Raises:
            StreamRejectedError: No proxy may ask this; the stream has to be ended.
        """
        self._check_names(request)
        url = request.type_url
        if url not in self.subscriptions and len(self.subscriptions) >= self.limits.max_types:
            raise StreamRejectedError("RESOURCE_EXHAUSTED", f"over {self.limits.max_types} types on one stream")
        subscription = self.subscriptions.setdefault(url, Subscription())
        handle = self._handle_delta if self.delta else self._handle_sotw
        handle(subscription, request)
        if len(subscription.names) > self.limits.max_names:
            raise StreamRejectedError("RESOURCE_EXHAUSTED", f"over {self.limits.max_names} names of {url}")

    def _check_names(self, request: DiscoveryRequest) -> None:
        url = request.type_url
        limit = self.limits.max_name_bytes
        if not url.startswith(TYPE_URL_PREFIX) or len(url) > limit:
            raise StreamRejectedError(
                "INVALID_ARGUMENT", f"type_url {url[:80]!r}: it must begin with {TYPE_URL_PREFIX}"
            )
        initial_names = request.initial_resource_versions
        for name in (*request.resource_names, *request.subscribe, *request.unsubscribe, *initial_names):
            if len(name.encode("utf-8", "surrogatepass")) > limit:
                raise StreamRejectedError("INVALID_ARGUMENT", f"a resource name of over {limit} bytes")

    def _handle_sotw(self, subscription: Subscription, request: DiscoveryRequest) -> None:
        if subscription.last_nonce and request.nonce != subscription.last_nonce:
            self.stale_requests += 1  # of a response that was superseded, or of another server instance
            return
        is_first = not subscription.requested
        if subscription.pending_nonce and request.nonce == subscription.pending_nonce:
            self._handle_acknowledgement(subscription, request)
        names = set(request.resource_names)
        # The names are the whole subscription. "*", or no name since the first request, subscribes to everything.
        never_named = not names and request.type_url in WILDCARD_TYPES and (is_first or subscription.wildcard)
        wildcard = never_named or WILDCARD in names
        names.discard(WILDCARD)
        if not is_first:
            subscription.requested_again |= names - subscription.names  # sent even if the proxy held them before
            for name in subscription.names - names:
                if not wildcard:
                    subscription.client_versions.pop(name, None)
                    subscription.acked_versions.pop(name, None)
        subscription.requested = True
        subscription.wildcard = wildcard
        subscription.names = names

    def _handle_delta(self, subscription: Subscription, request: DiscoveryRequest) -> None:
        if request.nonce:
            if request.nonce == subscription.pending_nonce:
                self._handle_acknowledgement(subscription, request)
            else:
                self.stale_requests += 1
        if not subscription.requested:
            subscription.requested = True
            # What the proxy holds from an earlier stream is sent again only if its version has changed.
            subscription.client_versions = dict(request.initial_resource_versions)
            subscription.acked_versions = dict(request.initial_resource_versions)
            subscription.wildcard = request.type_url in WILDCARD_TYPES and not request.subscribe
        subscription.subscribe(request.subscribe, request.initial_resource_versions)
        subscription.unsubscribe(request.unsubscribe)

    def _handle_acknowledgement(self, subscription: Subscription, request: DiscoveryRequest) -> None:
        """Take in the ACK or NACK of the pending response."""
        if request.error_detail:
            self.nacks += 1
            text = request.error_detail.encode("utf-8", "replace")[: self.limits.max_error_bytes]
            one_line = " ".join(text.decode("utf-8", "replace").split())
            self.nacked.append((request.type_url, subscription.version_info, one_line))
            # The proxy stays at what it last ACKed; the versions that it refused are not sent again.
            subscription.nacked_versions.update(subscription.pending_versions)
            subscription.client_versions = dict(subscription.acked_versions)
        else:
            self.acks += 1
            subscription.acked_versions = dict(subscription.client_versions)
            self.acked.append((request.type_url, subscription.version_info))
        subscription.pending_versions = {}
        subscription.pending_nonce = ""

    def pending_responses(self, snapshot: Snapshot) -> list[DiscoveryResponse]:
        """Return the responses that may be sent now, in the protocol's order. Call it until it returns none."""
        responses = []
        ordered_urls = [url for url in UPDATE_ORDER if url in self.subscriptions]
        other_urls = [url for url in self.subscriptions if url not in UPDATE_ORDER]
        for url in [*ordered_urls, *other_urls]:
            response = self._response(url, snapshot)
            if response is not None:
                responses.append(response)
        return responses

    def _response(self, url: str, snapshot: Snapshot) -> DiscoveryResponse | None:
        subscription = self.subscriptions[url]
        if not subscription.requested or subscription.pending_nonce:
            return None  # once the pending response is answered, the state of that time is sent
        if self._waits_for_predecessor(url):
            return None
        wanted = {name: resource for name, resource in snapshot.of(url).items() if subscription.wants(name)}
        in_use = self._removed_clusters_in_use(url, subscription, wanted, snapshot)
        if self.delta:
            return self._delta_response(url, subscription, wanted, in_use, snapshot)
        return self._sotw_response(url, subscription, wanted, in_use, snapshot)

    def _waits_for_predecessor(self, url: str) -> bool:
        """Return whether a response is pending of a type that comes before this one: make before break."""
        if url not in UPDATE_ORDER:
            return False
        predecessors = UPDATE_ORDER[: UPDATE_ORDER.index(url)]
        return any(self.subscriptions[one].pending_nonce for one in predecessors if one in self.subscriptions)

    def _removed_clusters_in_use(
        self, url: str, subscription: Subscription, wanted: Mapping[str, Resource], snapshot: Snapshot
    ) -> set[str]:
        """Return removed clusters that routes may still use: they stay until the newest routes are ACKed."""
        if url != CDS or RDS not in self.subscriptions:
            return set()
        if not self.subscriptions[RDS].nacked_versions and self.is_acked(RDS, snapshot):
            return set()
        return set(subscription.client_versions) - set(wanted)

    def _respond(
        self, url: str, subscription: Subscription, snapshot: Snapshot, sent: Mapping[str, Resource], removed: set[str]
    ) -> DiscoveryResponse:
        """Make a response, which is pending from now on."""
        self.nonce_count += 1
        subscription.last_nonce = f"{self.instance_id}.{self.nonce_count}"
        subscription.pending_nonce = subscription.last_nonce
        subscription.pending_versions = {name: resource.version for name, resource in sent.items()}
        subscription.client_versions.update(subscription.pending_versions)
        subscription.version_info = snapshot.versions.get(url, "")
        subscription.responded = True
        subscription.requested_again.clear()
        resources = tuple(resource for _, resource in sorted(sent.items()))
        version_info = subscription.version_info
        return DiscoveryResponse(url, subscription.last_nonce, version_info, resources, tuple(sorted(removed)))

    def _sotw_response(
        self, url: str, subscription: Subscription, wanted: Mapping[str, Resource], in_use: set[str], snapshot: Snapshot
    ) -> DiscoveryResponse | None:
        sent = subscription.changed_resources(wanted)
        held = subscription.client_versions
        removed = set(held) - set(wanted) - in_use
        is_full = url in WILDCARD_TYPES  # a response lists all resources of these types; those left out are removed
        if not sent and not (removed and is_full) and subscription.responded:
            return None
        if not subscription.responded and not wanted and not is_full:
            return None  # no such resource yet: the proxy waits
        if is_full:
            # Clusters that routes may still use are sent again: left out, they would be removed.
            last_sent = subscription.sent_resources
            sent = {**{name: last_sent[name] for name in in_use if name in last_sent}, **wanted}
            subscription.sent_resources = sent
        subscription.client_versions = {name: version for name, version in held.items() if name in wanted}
        return self._respond(url, subscription, snapshot, sent, set())

    def _delta_response(
        self, url: str, subscription: Subscription, wanted: Mapping[str, Resource], in_use: set[str], snapshot: Snapshot
    ) -> DiscoveryResponse | None:
        sent = subscription.changed_resources(wanted)
        held = subscription.client_versions
        removed = {name for name in held if name not in wanted} - in_use
        absent = {name for name in subscription.names if name not in wanted and name not in held}
        absent -= subscription.reported_absent
        if not sent and not removed and not absent and subscription.responded:
            return None
        for name in removed:
            held.pop(name, None)
        reported = subscription.reported_absent | absent | (removed & subscription.names)
        subscription.reported_absent = reported - set(wanted)
        return self._respond(url, subscription, snapshot, sent, removed | absent)

    def is_acked(self, url: str, snapshot: Snapshot) -> bool:
        """Return whether the proxy has ACKed all of the snapshot that it subscribed to of a type."""
        subscription = self.subscriptions.get(url)
        if subscription is None or subscription.pending_nonce:
            return False
        acked = subscription.acked_versions
        wanted = {name: one.version for name, one in snapshot.of(url).items() if subscription.wants(name)}
        return all(acked.get(name) == version for name, version in wanted.items())

    def usable_versions(self, url: str) -> Iterable[str]:
        """Return the versions that the proxy may act on: those that it ACKed, and those being sent."""
        subscription = self.subscriptions.get(url)
        if subscription is None:
            return set()
        by_name = (subscription.acked_versions, subscription.client_versions, subscription.pending_versions)
        return {version for versions in by_name for version in versions.values()}
