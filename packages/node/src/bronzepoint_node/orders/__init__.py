"""Orders to engines to load a model version, sent only by the lease holder."""

from bronzepoint_node.orders._engine import EngineClient
from bronzepoint_node.orders._errors import (
    EngineUnreachable,
    LeaseLost,
    OrderError,
    OrderFenced,
    OrderRefused,
    WeightsLimited,
)
from bronzepoint_node.orders._numbers import OrderNumbers
from bronzepoint_node.orders._orders import Orders
from bronzepoint_node.orders._plan import EngineView, Plan, plan_steps
from bronzepoint_node.orders._rate_limiter import LoadRateLimiter
from bronzepoint_node.orders._wanted import WantedEngine, wanted_engines

__all__ = [
    "EngineClient",
    "EngineUnreachable",
    "EngineView",
    "LeaseLost",
    "LoadRateLimiter",
    "OrderError",
    "OrderFenced",
    "OrderNumbers",
    "OrderRefused",
    "Orders",
    "Plan",
    "WantedEngine",
    "WeightsLimited",
    "plan_steps",
    "wanted_engines",
]
