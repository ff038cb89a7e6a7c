"""Minimum number of ready engines during the rollout of a model version."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.schema import serving_pb2

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.messages import BackendId
    from tanagerturn.serving.backends.view import BackendView
    from tanagerturn.serving.orders.messages import DesiredEngine, OpenOrder


def min_ready_blocking_reason(
    order: serving_pb2.Order,
    engine: DesiredEngine,
    view: BackendView,
    desired: Mapping[BackendId, DesiredEngine],
    open_orders: Mapping[BackendId, OpenOrder],
    now_ms: int,
) -> str:
    """Return why an order must wait for other engines; empty if it need not wait.

    An engine does not serve a model while it loads another version of it, so enough
    other engines must be ready. An engine that does not serve the model yet may load
    it at any time.

    Args:
        order: The next order for the engine.
        engine: Desired state of the engine.
        view: Announced state of the engines.
        desired: Desired state of each engine.
        open_orders: The open order of each engine that has one.
        now_ms: Current time in milliseconds.
    """
    if order.action != serving_pb2.LOAD_MODEL:
        return ""
    backend = view.backends[engine.backend_id]
    if not backend.has_model(order.model, "", ""):
        return ""
    for model in engine.models:
        if model.model != order.model:
            continue
        ready = _count_other_ready(
            backend, model.service, model.model, view, desired, open_orders, now_ms
        )
        if ready < model.ready_floor:
            return f"{ready} other engines of {model.service} are ready, too few"
    return ""


def _count_other_ready(
    backend: Backend,
    service: str,
    model: str,
    view: BackendView,
    desired: Mapping[BackendId, DesiredEngine],
    open_orders: Mapping[BackendId, OpenOrder],
    now_ms: int,
) -> int:
    count = 0
    for other in view.pool(service, model):
        if other is backend or other.id in open_orders or other.id not in desired:
            continue
        if view.is_eligible(other, now_ms):
            count += 1
    return count
