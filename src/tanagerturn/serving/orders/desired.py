"""Desired state of engines, derived from the settings of the deployment."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.schema import serving_pb2, settings_pb2
from tanagerturn.serving.orders.messages import DesiredEngine, DesiredModel

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.messages import BackendId


def desired_engines(
    settings: settings_pb2.DeploymentSettings, backends: Iterable[Backend]
) -> dict[BackendId, DesiredEngine]:
    """Return the desired state of each engine: all models of its services are ready.

    Args:
        settings: Settings in force.
        backends: Known backend servers; leaving ones and those without a model service
            are omitted.
    """
    services = {
        service.name: service
        for service in settings.services
        if service.type == settings_pb2.MODEL
    }
    desired = {}
    for backend in backends:
        if backend.leaving:
            continue
        models = [
            model
            for name in backend.announcement.services
            if name in services
            for model in _models(services[name])
        ]
        if models:
            desired[backend.id] = DesiredEngine(backend.id, tuple(models))
    return desired


def _models(service: settings_pb2.Service) -> Iterator[DesiredModel]:
    for model in service.models:
        yield DesiredModel(
            model=model.model,
            version=model.version,
            adapters=frozenset(model.adapters),
            service=service.name,
            priority=service.priority,
            ready_floor=service.capacity.ready_floor,
        )


def next_order(backend: Backend, desired: DesiredEngine) -> serving_pb2.Order | None:
    """Return the next order that brings an engine closer to its desired state.

    Args:
        backend: The engine in its announced state.
        desired: Desired state of the engine.

    Returns:
        The order without its id, fencing number and time; None if the engine needs no
        order.
    """
    if desired.role is not None and backend.role != desired.role:
        return serving_pb2.Order(
            backend_server=backend.id,
            action=serving_pb2.SET_ROLE,
            role=desired.role,
        )
    for model in sorted(desired.models, key=lambda each: each.priority or 99):
        order = _order_for(backend, model)
        if order is not None:
            return order
    return _unload(backend, desired)


def _order_for(backend: Backend, model: DesiredModel) -> serving_pb2.Order | None:
    loaded = [
        each
        for each in backend.announcement.models
        if each.model == model.model and each.version == model.version
    ]
    order = serving_pb2.Order(
        backend_server=backend.id, model=model.model, version=model.version
    )
    if not loaded:
        order.action = serving_pb2.LOAD_MODEL
        return order
    if not loaded[0].ready:
        return None
    missing = sorted(model.adapters - set(loaded[0].adapters))
    if missing:
        order.action = serving_pb2.LOAD_ADAPTER
        order.adapter = missing[0]
        return order
    return None


def _unload(backend: Backend, desired: DesiredEngine) -> serving_pb2.Order | None:
    """Return the order to unload a version that a ready version has replaced."""
    versions = {model.model: model.version for model in desired.models}
    for loaded in backend.announcement.models:
        version = versions.get(loaded.model)
        if version is None or loaded.version == version:
            continue
        if backend.has_model(loaded.model, version, ""):
            return serving_pb2.Order(
                backend_server=backend.id,
                action=serving_pb2.UNLOAD_MODEL,
                model=loaded.model,
                version=loaded.version,
            )
    return None
