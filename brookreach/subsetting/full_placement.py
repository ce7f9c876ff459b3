"""Full placement: computes which balancers hold which services as a pure function of the view and the settings.

Services are placed one after another in the order of the hashes of their names. For each zone, a service is offered to
the zone's balancers in descending order of weighted rendezvous score, and is placed on those that stay within their
caps. If a zone lacks capacity, the rest of its quota goes to the highest-scored balancers of all other zones. The caps
are hard limits: a service that finds no capacity gets fewer balancers and is listed in `Placement.shortfalls`.
"""

from __future__ import annotations

from brookreach.subsetting.fleet_view import FleetView
from brookreach.subsetting.incremental_placement import IncrementalPlacer
from brookreach.subsetting.placement import Placement
from brookreach.subsetting.settings import Settings


def place_services(view: FleetView, settings: Settings) -> Placement:
    """Returns the placement; an `IncrementalPlacer` derives the same one from its predecessor with less work."""
    return IncrementalPlacer(settings).update(view)
