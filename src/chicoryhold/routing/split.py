"""Choice of the service that gets a request of a route with a split."""

from __future__ import annotations

from random import Random

from chicoryhold.routing.configuration import RouteRule


def choose_service(route: RouteRule, *, random: Random) -> str:
    """Return a service of ``route``, each as often as its weight says.

    The first one if all weights are 0. The sum of the weights may be more than a float
    holds.
    """
    if len(route.parts) == 1:
        return route.parts[0].service
    largest = max(part.weight for part in route.parts)
    if largest <= 0:
        return route.parts[0].service
    weights = [part.weight / largest for part in route.parts]
    return random.choices(route.parts, weights)[0].service
