"""Settings, hypothesis strategies and generated fleets for the tests of subsetting."""

import random

from hypothesis import strategies as st

from brookreach.subsetting.fleet_view import Balancer, Service, make_view
from brookreach.subsetting.settings import Caps, Settings, Spread

DEFAULT_SETTINGS = Settings()
TIGHT_SETTINGS = Settings(caps=Caps(services=3, nodes=80, routes=12, tenants=200, rpcs=60), spread=Spread(balancers=4))

NO_CAPS = Settings(caps=Caps(services=10_000, nodes=100_000, routes=100_000, tenants=100_000, rpcs=100_000))

balancers = st.builds(
    Balancer,
    name=st.integers(0, 25).map("m{}".format),
    region=st.sampled_from(["east", "west"]),
    zone=st.sampled_from(["a", "b", "c"]),
    weight=st.integers(1, 3),
)
services = st.builds(
    Service,
    name=st.integers(0, 15).map("s{}".format),
    nodes=st.integers(0, 40),
    routes=st.integers(0, 6),
    tenants=st.integers(0, 90),
    rpcs=st.integers(0, 300),
)
views = st.builds(
    lambda balancers, services: make_view(1, balancers, services),
    st.lists(balancers, max_size=20, unique_by=lambda row: row.name),
    st.lists(services, max_size=12, unique_by=lambda row: row.name),
)


def fleet(count, zones=6, weight=1):
    return [Balancer(f"m{index}", f"r{index % 2}", f"z{index % zones}", weight) for index in range(count)]


def many_services(count, seed=1):
    random_source = random.Random(seed)
    return [
        Service(
            f"s{index}",
            random_source.randint(1, 30),
            random_source.randint(1, 6),
            random_source.randint(0, 130),
            random_source.randint(0, 400),
        )
        for index in range(count)
    ]


def count_moves(before, after):
    """Returns how many assignments were added and removed, over the services that both placements have."""
    return sum(
        len(set(before.holders[name]) ^ set(after.holders[name])) for name in before.holders if name in after.holders
    )
