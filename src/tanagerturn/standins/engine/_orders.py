"""Executes the orders that a stand-in engine receives; holds its models and role."""

from __future__ import annotations

from collections import deque
from math import inf
from typing import TYPE_CHECKING, Final

from tanagerturn.schema.serving_pb2 import LoadedModel, Order, OrderAction, OrderOutcome
from tanagerturn.serving.cache.blocks import cache_seed

if TYPE_CHECKING:
    from tanagerturn.standins.engine.config import EngineConfig

MAX_OUTCOMES: Final = 16
"""Maximum number of order outcomes in an announcement; older outcomes are dropped."""


class OrderExecutor:
    """Executes the orders of one engine.

    Args:
        config: Configuration of the engine.
    """

    def __init__(self, config: EngineConfig) -> None:
        self.config = config
        """Configuration of the engine."""
        self.role = config.role
        """Stages of a request that the engine runs: prefill, decode or both."""
        self.models = {
            config.model: LoadedModel(
                model=config.model, version=config.version, ready=True
            )
        }
        """Models by name, including models that are still loading."""
        self.highest_fencing_number = 0
        """Highest fencing number of all accepted orders; 0 before the first."""
        self.accepted: list[Order] = []
        """Accepted orders in order of execution, without repetitions."""
        self.refused: list[Order] = []
        """Orders refused because of a stale fencing number."""
        self.outcomes: deque[OrderOutcome] = deque(maxlen=MAX_OUTCOMES)
        """Outcomes of the last completed orders, oldest first."""
        self.load_ends_at_ms: dict[str, float] = {}
        """Time at which each load in progress ends, in milliseconds, by order id;
        infinite until its weights are fetched."""

    def execute(self, order: Order, now_ms: float) -> bool:
        """Execute an order; a load is started and completes later.

        Args:
            order: The order. An order with the id of an accepted order is
                accepted, but not executed again.
            now_ms: Current time, in milliseconds.

        Returns:
            Whether the order is accepted; False if its fencing number is stale and
            the engine checks fencing numbers.
        """
        is_stale = order.fencing_number < self.highest_fencing_number
        if is_stale and self.config.checks_fencing:
            self.refused.append(order)
            return False
        self.highest_fencing_number = max(
            self.highest_fencing_number, order.fencing_number
        )
        if any(known.order_id == order.order_id for known in self.accepted):
            return True
        self.accepted.append(order)
        self._apply(order, now_ms)
        return True

    def advance(self, now_ms: float) -> None:
        """Complete the loads that end by the time `now_ms`, in milliseconds."""
        for order_id, ends_at_ms in list(self.load_ends_at_ms.items()):
            if ends_at_ms <= now_ms:
                del self.load_ends_at_ms[order_id]
                self._finish_load(order_id)

    def on_weights_fetched(self, order_id: str, now_ms: float) -> None:
        """Start to load the fetched weights of an order.

        Args:
            order_id: Id of the order; an order without a load in progress is ignored.
            now_ms: Current time, in milliseconds.
        """
        if order_id in self.load_ends_at_ms:
            self.load_ends_at_ms[order_id] = now_ms + self.config.load_model_ms

    def is_ready(self, model: str) -> bool:
        """Return whether a model is loaded.

        Args:
            model: Name of the model; empty for any model.
        """
        if not model:
            return any(loaded.ready for loaded in self.models.values())
        return model in self.models and self.models[model].ready

    def cache_seed(self, model: str) -> str:
        """Return the seed that separates the prefix blocks of different models.

        Args:
            model: Name of the model; an unknown name selects the first model.

        Returns:
            The seed; empty if there is no model.
        """
        loaded = self.models.get(model) or next(iter(self.models.values()), None)
        if loaded is None:
            return ""
        return cache_seed(loaded.model, loaded.version)

    def _apply(self, order: Order, now_ms: float) -> None:
        if order.action == OrderAction.SET_ROLE:
            self.role = order.role
        elif order.action == OrderAction.UNLOAD_MODEL:
            self.models.pop(order.model, None)
        elif order.action in (OrderAction.LOAD_MODEL, OrderAction.LOAD_ADAPTER):
            self._start_load(order)
            self.load_ends_at_ms[order.order_id] = inf
            if not self.config.weight_store_url:
                self.on_weights_fetched(order.order_id, now_ms)
            return
        self.outcomes.append(OrderOutcome(order_id=order.order_id, done=True))

    def _start_load(self, order: Order) -> None:
        loaded = self.models.setdefault(order.model, LoadedModel(model=order.model))
        if order.action == OrderAction.LOAD_MODEL:
            loaded.version = order.version
            loaded.ready = False

    def _finish_load(self, order_id: str) -> None:
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
