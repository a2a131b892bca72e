"""Compares the coordinators' decisions with simpler algorithms, in simulated time.

Run it with ``make decisions``. Sizes and network delays are those of the users'
deployment: delays are half a millisecond inside a region and 55 ms between regions.
Each printed row names its random seed.
"""

from __future__ import annotations

from bench.decisions.fairness import print_fairness
from bench.decisions.rates import print_limits
from bench.decisions.target_choice import print_target_choice


def main() -> None:
    """Print every table."""
    print_target_choice()
    print_limits()
    print_fairness()


if __name__ == "__main__":
    main()
