"""Route look-up, validation of configurations and their replicated state."""

from __future__ import annotations

from random import Random

import pytest

from chicoryhold.codec import encode
from chicoryhold.routing.configuration import (
    Configuration,
    OrganisationRule,
    RouteRule,
    ServiceRule,
    WeightedService,
    validation_errors,
)
from chicoryhold.routing.route_index import RouteIndex
from chicoryhold.routing.split import choose_service
from chicoryhold.state.changes import (
    Change,
    EndEvacuation,
    EvacuateDomain,
    PutConfiguration,
)
from chicoryhold.state.control_state import ControlState

CHOICES = 2_000


def route(**fields: object) -> RouteRule:
    defaults = {
        "name": "r",
        "host": "shop.example",
        "prefix": "/a/",
        "parts": (WeightedService(service="menu", weight=1),),
    }
    return RouteRule(**{**defaults, **fields})


def a_configuration(version: int = 1, **fields: object) -> Configuration:
    defaults = {"routes": (route(),), "services": (ServiceRule(name="menu"),)}
    return Configuration(version=version, **{**defaults, **fields})


def test_the_longest_matching_prefix_of_the_host_is_chosen():
    index = RouteIndex(
        a_configuration(
            routes=(
                route(name="short"),
                route(name="long", prefix="/a/b/"),
                route(name="other", host="else.example", prefix="/a/b/c/"),
            )
        )
    )
    assert index.route(host="shop.example", path="/a/b/c/d").name == "long"
    assert index.route(host="Shop.Example:80", path="/a/x").name == "short"
    assert index.route(host="shop.example", path="/b/") is None


@pytest.mark.parametrize("host", ["shop.example:80", "[::1]", "[::1]:80", "a.b:c"])
def test_a_route_whose_host_has_a_port_or_a_colon_is_found(host):
    index = RouteIndex(a_configuration(routes=(route(host=host), route())))
    found = index.route(host=host.upper(), path="/a/x")
    assert found.host == host
    assert index.route(host="shop.example", path="/a/x").host == "shop.example"
    assert index.route(host="[::2]:80", path="/a/x") is None


@pytest.mark.parametrize(
    ("invalid_route", "message"),
    [
        (route(host=""), "host is empty"),
        (route(prefix="a/"), "must start with '/'"),
        (route(timeout=601), "must be at most 600 s"),
        (route(parts=()), "no service"),
        (route(parts=(WeightedService(service="x", weight=1),)), "'x' is unknown"),
    ],
)
def test_each_error_names_its_route_and_the_remedy(invalid_route, message):
    errors = validation_errors(a_configuration(routes=(invalid_route,)))
    assert len(errors) == 1
    assert message in errors[0]
    assert "'r'" in errors[0]


@pytest.mark.parametrize(
    ("weights", "shares"),
    [
        ((90, 10), (0.9, 0.1)),
        ((0, 5), (0, 1)),
        ((0, 0), (1, 0)),
        ((1e308, 1e308), (0.5, 0.5)),
        ((5e-324, 5e-324), (0.5, 0.5)),
    ],
)
def test_a_split_whose_weights_add_up_to_no_number_is_served_by_its_weights(
    weights, shares
):
    parts = tuple(
        WeightedService(service=name, weight=weight)
        for name, weight in zip("ab", weights, strict=True)
    )
    random = Random(7)
    chosen = [choose_service(route(parts=parts), random=random) for _ in range(CHOICES)]
    counts = [chosen.count(name) / CHOICES for name in "ab"]
    assert counts == pytest.approx(shares, abs=0.05)


def test_two_organisations_may_not_share_a_key():
    organisations = (
        OrganisationRule(name="one", keys=("k",)),
        OrganisationRule(name="two", keys=("k",)),
    )
    assert (
        "share a key"
        in validation_errors(a_configuration(organisations=organisations))[0]
    )


def put(state: ControlState, configuration: Configuration, text: bytes):
    body = PutConfiguration(configuration=configuration, text=text)
    return state.apply(Change(request_id="", operator="", body=encode(body)))


def test_a_configuration_with_a_lower_or_equal_version_changes_nothing():
    state = ControlState()
    assert put(state, a_configuration(7), b"seven").accepted
    assert put(state, a_configuration(7, routes=()), b"other").accepted
    assert put(state, a_configuration(3), b"three").accepted
    assert state.configuration_text == b"seven"
    assert state.configuration.routes


def test_a_state_image_restores_the_configuration_and_evacuations():
    state = ControlState()
    put(state, a_configuration(7), b"seven")
    body = encode(EvacuateDomain(domain="north-a"))
    state.apply(Change(request_id="x", operator="", body=body))
    copy = ControlState()
    copy.load(state.image())
    assert copy.configuration == state.configuration
    assert copy.evacuated == {"north-a"}


def test_a_repeated_change_does_not_restart_an_ended_evacuation():
    state = ControlState()
    start = Change(
        request_id="x", operator="", body=encode(EvacuateDomain(domain="north-a"))
    )
    end = Change(
        request_id="y", operator="", body=encode(EndEvacuation(domain="north-a"))
    )
    for change in (start, end, start):
        state.apply(change)
    assert state.evacuated == frozenset()
