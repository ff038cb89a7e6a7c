"""Orders to a stand-in engine and the models that they load."""

from __future__ import annotations

from collections import deque
from math import inf
from typing import TYPE_CHECKING, Final

from tanagerturn.schema.serving_pb2 import LoadedModel, Order, OrderAction, OrderOutcome
from tanagerturn.serving.cache.blocks import cache_seed

if TYPE_CHECKING:
    from tanagerturn.standins.engine.config import EngineConfig

OUTCOMES_KEPT: Final = 16


class OrderBook:
    """Models, role and orders of one engine.

    Args:
        config: Configuration of the engine.
    """

    def __init__(self, config: EngineConfig) -> None:
        self.config = config
        """Configuration of the engine."""
        self.role = config.role
        """Part of the work that the engine takes."""
        self.models = {
            config.model: LoadedModel(
                model=config.model, version=config.version, ready=True
            )
        }
        """Loaded models by name."""
        self.highest_fencing_number = 0
        """Highest fencing number seen."""
        self.accepted: list[Order] = []
        """Orders carried out, in order; a repeated order stands once."""
        self.refused: list[Order] = []
        """Orders refused for a stale fencing number."""
        self.outcomes: deque[OrderOutcome] = deque(maxlen=OUTCOMES_KEPT)
        """Outcomes of the last orders."""
        self.loading: dict[str, float] = {}
        """Time at which each order's load ends, by order id, in ms."""

    def take(self, order: Order, now_ms: float) -> bool:
        """Carry an order out.

        Args:
            order: The order; one with a known id is not carried out again.
            now_ms: Present time.

        Returns:
            False when the fencing number is stale and the engine checks it.
        """
        stale = order.fencing_number < self.highest_fencing_number
        if stale and self.config.checks_fencing:
            self.refused.append(order)
            return False
        self.highest_fencing_number = max(
            self.highest_fencing_number, order.fencing_number
        )
        if any(known.order_id == order.order_id for known in self.accepted):
            return True
        self.accepted.append(order)
        self._carry_out(order, now_ms)
        return True

    def advance(self, now_ms: float) -> None:
        """Finish loads whose time has come."""
        for order_id, ends_at_ms in list(self.loading.items()):
            if ends_at_ms <= now_ms:
                del self.loading[order_id]
                self._finish(order_id)

    def weights_arrived(self, order_id: str, now_ms: float) -> None:
        """Start to load the weights that an order asked for."""
        if order_id in self.loading:
            self.loading[order_id] = now_ms + self.config.load_model_ms

    def ready(self, model: str) -> bool:
        """Tell whether a model, or any when none is named, can serve."""
        if not model:
            return any(loaded.ready for loaded in self.models.values())
        return model in self.models and self.models[model].ready

    def cache_seed(self, model: str) -> str:
        """Return what keeps the caches of a loaded model apart from others."""
        loaded = self.models.get(model) or next(iter(self.models.values()), None)
        if loaded is None:
            return ""
        return cache_seed(loaded.model, loaded.version)

    def _carry_out(self, order: Order, now_ms: float) -> None:
        if order.action == OrderAction.SET_ROLE:
            self.role = order.role
        elif order.action == OrderAction.UNLOAD_MODEL:
            self.models.pop(order.model, None)
        elif order.action in (OrderAction.LOAD_MODEL, OrderAction.LOAD_ADAPTER):
            self._begin_load(order)
            self.loading[order.order_id] = inf
            if not self.config.weight_store_url:
                self.weights_arrived(order.order_id, now_ms)
            return
        self.outcomes.append(OrderOutcome(order_id=order.order_id, done=True))

    def _begin_load(self, order: Order) -> None:
        loaded = self.models.setdefault(order.model, LoadedModel(model=order.model))
        if order.action == OrderAction.LOAD_MODEL:
            loaded.version = order.version
            loaded.ready = False

    def _finish(self, order_id: str) -> None:
        order = next(order for order in self.accepted if order.order_id == order_id)
        loaded = self.models.get(order.model)
        if loaded is None:
            reason = "unloaded meanwhile"
            self.outcomes.append(OrderOutcome(order_id=order_id, reason=reason))
            return
        if order.action == OrderAction.LOAD_ADAPTER:
            loaded.adapters.append(order.adapter)
        elif loaded.version != order.version:
            reason = "superseded by a later order"
            self.outcomes.append(OrderOutcome(order_id=order_id, reason=reason))
            return
        else:
            loaded.ready = True
        self.outcomes.append(OrderOutcome(order_id=order_id, done=True))
