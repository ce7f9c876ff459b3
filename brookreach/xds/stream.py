"""One proxy's stream without I/O: what it asks, ACKs and NACKs in; what it must be told out.

State of the world and delta, after the published description of the xDS transport protocol. A `AdsStream` is
one stream. It knows resource types by their URLs, names, versions and payloads as opaque bytes; what they
mean is `brookreach.xds.resources`. Latest state wins: there is no queue, only what the proxy holds and what
it should.

Order. Make before break: clusters before their endpoints, those before listeners, routes last; what goes
away goes in the reverse order, once the routes that used it are ACKed. `due` gives one answer a type at most
until that type is ACKed or NACKed, so a proxy that doesn't read holds one answer a type, whatever has
changed meanwhile.
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
    """One stream of one proxy. `life` makes nonces of this server's life unlike those of any other."""

    def __init__(self, delta: bool, instance_id: str, limits: Limits | None = None):
        self.delta, self.instance_id, self.limits = delta, instance_id, limits or Limits()
        self.subscriptions: dict[str, Subscription] = {}
        self.nonce_count = 0
        self.acks = self.nacks = self.stale_requests = 0
        self.nacked: list[tuple[str, str, str]] = []  # type, version, the proxy's words; taken by the log
        self.acked: list[tuple[str, str]] = []  # type, version; taken by who counts exposure

    # --- what comes in ---

    def handle_request(self, ask: DiscoveryRequest) -> None:
        """Raises InvalidFrameError for what no proxy may ask."""
        if not ask.type_url.startswith(TYPE_URL_PREFIX) or len(ask.type_url) > self.limits.max_name_bytes:
            raise StreamRejectedError(
                "INVALID_ARGUMENT", f"type_url {ask.type_url[:80]!r}: it must begin with {TYPE_URL_PREFIX}"
            )
        for name in (*ask.resource_names, *ask.subscribe, *ask.unsubscribe, *ask.initial_resource_versions):
            if len(name.encode("utf-8", "surrogatepass")) > self.limits.max_name_bytes:
                raise StreamRejectedError(
                    "INVALID_ARGUMENT", f"a resource name of over {self.limits.max_name_bytes} bytes"
                )
        if ask.type_url not in self.subscriptions and len(self.subscriptions) >= self.limits.max_types:
            raise StreamRejectedError("RESOURCE_EXHAUSTED", f"over {self.limits.max_types} types on one stream")
        subscription = self.subscriptions.setdefault(ask.type_url, Subscription())
        if self.delta:
            self._handle_delta(subscription, ask)
        else:
            self._handle_sotw(subscription, ask)
        if len(subscription.names) > self.limits.max_names:
            raise StreamRejectedError("RESOURCE_EXHAUSTED", f"over {self.limits.max_names} names of {ask.type_url}")

    def _handle_sotw(self, subscription: Subscription, ask: DiscoveryRequest) -> None:
        if subscription.last_nonce and ask.nonce != subscription.last_nonce:
            self.stale_requests += 1  # it speaks of an answer that a later one has replaced, or of another life
            return
        first = not subscription.requested
        if subscription.pending_nonce and ask.nonce == subscription.pending_nonce:
            self._handle_verdict(subscription, ask)
        names = set(ask.resource_names)
        # Names are all that it wants from now on; none at all from the first on, or "*": everything.
        wild = WILDCARD in names or (not names and ask.type_url in WILDCARD_TYPES and (first or subscription.wildcard))
        names.discard(WILDCARD)
        if not first:
            subscription.requested_again |= (
                names - subscription.names
            )  # asked for anew: said again even where held before
            for name in subscription.names - names:
                if not wild:
                    subscription.client_versions.pop(name, None)
                    subscription.acked_versions.pop(name, None)
        subscription.requested, subscription.wildcard, subscription.names = True, wild, names

    def _handle_delta(self, subscription: Subscription, ask: DiscoveryRequest) -> None:
        first = not subscription.requested
        if ask.nonce:
            if ask.nonce == subscription.pending_nonce:
                self._handle_verdict(subscription, ask)
            else:
                self.stale_requests += 1
        if first:
            subscription.requested = True
            # What it holds of an earlier stream: only what is as it stands is not sent again.
            subscription.client_versions = dict(ask.initial_resource_versions)
            subscription.acked_versions = dict(ask.initial_resource_versions)
            subscription.wildcard = ask.type_url in WILDCARD_TYPES and not ask.subscribe
        for name in ask.subscribe:
            if name == WILDCARD:
                subscription.wildcard = True
            else:
                subscription.names.add(name)
                if name not in ask.initial_resource_versions:
                    subscription.requested_again.add(name)
                subscription.reported_absent.discard(name)
        for name in ask.unsubscribe:
            if name == WILDCARD:
                subscription.wildcard = False
                for other in set(subscription.client_versions) - subscription.names:
                    subscription.client_versions.pop(other), subscription.acked_versions.pop(other, None)
                continue
            subscription.names.discard(name)
            subscription.reported_absent.discard(name)
            subscription.requested_again.discard(name)
            if not subscription.wildcard:
                subscription.client_versions.pop(name, None)
                subscription.acked_versions.pop(name, None)

    def _handle_verdict(self, subscription: Subscription, ask: DiscoveryRequest) -> None:
        if ask.error_detail:
            self.nacks += 1
            words = ask.error_detail.encode("utf-8", "replace")[: self.limits.max_error_bytes].decode(
                "utf-8", "replace"
            )
            self.nacked.append((ask.type_url, subscription.version_info, " ".join(words.split())))
            # It stays on its last good; the same versions are not pressed on it again.
            subscription.nacked_versions.update(subscription.pending_versions)
            subscription.client_versions = dict(subscription.acked_versions)
        else:
            self.acks += 1
            subscription.acked_versions = dict(subscription.client_versions)
            self.acked.append((ask.type_url, subscription.version_info))
        subscription.pending_versions, subscription.pending_nonce = {}, ""

    # --- what goes out ---

    def pending_responses(self, snapshot: Snapshot) -> list[DiscoveryResponse]:
        """All answers that may go out now, in the protocol's order. Call it until it gives none."""
        out = []
        others = [url for url in self.subscriptions if url not in UPDATE_ORDER]
        for url in [*(url for url in UPDATE_ORDER if url in self.subscriptions), *others]:
            answer = self._response(url, snapshot)
            if answer is not None:
                out.append(answer)
        return out

    def _response(self, url: str, snapshot: Snapshot) -> DiscoveryResponse | None:
        subscription = self.subscriptions[url]
        if not subscription.requested or subscription.pending_nonce:
            return None  # one under way: latest state wins when it is settled
        if not self._predecessors_acked(url):
            return None
        stands = snapshot.of(url)
        wanted = {name: one for name, one in stands.items() if subscription.wants(name)}
        kept = self._clusters_in_use(url, subscription, wanted, snapshot)
        if self.delta:
            return self._delta_response(url, subscription, wanted, kept, snapshot)
        return self._sotw_response(url, subscription, wanted, kept, snapshot)

    def _predecessors_acked(self, url: str) -> bool:
        """Make before break: a type waits while one before it, that the proxy follows too, is under way."""
        if url not in UPDATE_ORDER:
            return True
        return not any(
            self.subscriptions[one].pending_nonce
            for one in UPDATE_ORDER[: UPDATE_ORDER.index(url)]
            if one in self.subscriptions
        )

    def _clusters_in_use(
        self, url: str, subscription: Subscription, wanted: Mapping[str, Resource], snapshot: Snapshot
    ) -> set[str]:
        """Clusters that routes may still use: they stay until the newest routes are ACKed."""
        if url != CDS or RDS not in self.subscriptions:
            return set()
        if not self.subscriptions[RDS].nacked_versions and self.is_acked(RDS, snapshot):
            return set()
        return set(subscription.client_versions) - set(wanted)

    @staticmethod
    def _changed(subscription: Subscription, wanted: Mapping[str, Resource]) -> dict[str, Resource]:
        """What the proxy lacks, has in another version, or asked for anew; what it NACKed only if so."""
        return {
            name: one
            for name, one in wanted.items()
            if name in subscription.requested_again
            or one.version not in (subscription.client_versions.get(name), subscription.nacked_versions.get(name))
        }

    def _respond(
        self, url: str, subscription: Subscription, snapshot: Snapshot, some: Mapping[str, Resource], removed: set[str]
    ) -> DiscoveryResponse:
        """An answer under way from now on."""
        self.nonce_count += 1
        subscription.pending_nonce = subscription.last_nonce = f"{self.instance_id}.{self.nonce_count}"
        subscription.pending_versions = {name: one.version for name, one in some.items()}
        subscription.client_versions.update(subscription.pending_versions)
        subscription.version_info, subscription.responded = snapshot.versions.get(url, ""), True
        subscription.requested_again.clear()
        told = tuple(one for _, one in sorted(some.items()))
        return DiscoveryResponse(
            url, subscription.pending_nonce, subscription.version_info, told, tuple(sorted(removed))
        )

    def _sotw_response(
        self, url: str, subscription: Subscription, wanted: Mapping[str, Resource], kept: set[str], snapshot: Snapshot
    ) -> DiscoveryResponse | None:
        some = self._changed(subscription, wanted)
        missing = set(subscription.client_versions) - set(wanted) - kept
        all_at_once = url in WILDCARD_TYPES  # an answer lists all of these: what it leaves out is removed
        if not some and not (missing and all_at_once) and subscription.responded:
            return None
        if not subscription.responded and not wanted and not all_at_once:
            return None  # nothing of it yet: the proxy waits
        if all_at_once:
            # What routes may still use is told once more: left out, it would be removed.
            still = {name: subscription.sent_resources[name] for name in kept if name in subscription.sent_resources}
            some = subscription.sent_resources = {**still, **wanted}
        subscription.client_versions = {
            name: version for name, version in subscription.client_versions.items() if name in wanted
        }
        return self._respond(url, subscription, snapshot, some, set())

    def _delta_response(
        self, url: str, subscription: Subscription, wanted: Mapping[str, Resource], kept: set[str], snapshot: Snapshot
    ) -> DiscoveryResponse | None:
        some = self._changed(subscription, wanted)
        removed = {name for name in subscription.client_versions if name not in wanted} - kept
        absent = {
            name for name in subscription.names if name not in wanted and name not in subscription.client_versions
        } - subscription.reported_absent
        if not some and not removed and not absent and subscription.responded:
            return None
        for name in removed:
            subscription.client_versions.pop(name, None)
        subscription.reported_absent = (subscription.reported_absent | absent | (removed & subscription.names)) - set(
            wanted
        )
        return self._respond(url, subscription, snapshot, some, removed | absent)

    def is_acked(self, url: str, snapshot: Snapshot) -> bool:
        """Whether the proxy has ACKed all that it wants of a type as it stands."""
        subscription = self.subscriptions.get(url)
        if subscription is None or subscription.pending_nonce:
            return False
        return all(
            subscription.acked_versions.get(n) == r.version
            for n, r in snapshot.of(url).items()
            if subscription.wants(n)
        )

    def usable_versions(self, url: str) -> Iterable[str]:
        """Versions of a type's resources that the proxy may act on: its good ones and those under way."""
        subscription = self.subscriptions.get(url)
        return (
            set()
            if subscription is None
            else {
                *subscription.acked_versions.values(),
                *subscription.client_versions.values(),
                *subscription.pending_versions.values(),
            }
        )
