"""All events that a gateway logs: source of the reference and of `tanager explain`."""

from __future__ import annotations

from typing import Final

COMMON_FIELDS: Final = ("at", "process", "level", "event", "part")
"""Fields of every line: wall-clock time in seconds, name of the process, level, event
and component."""

EVENTS: Final[dict[str, str]] = {
    # Requests
    "sent": (
        "A request is forwarded to a backend server: expected time to the first event, "
        "and known load with its age."
    ),
    "tried_again": (
        "An attempt failed and the request is retried at another backend server."
    ),
    "moved": (
        "A stream was migrated to another engine, or its migration failed; see "
        "`outcome`."
    ),
    "answered": "The caller received the complete answer.",
    "failed_by_backend": "The caller received the error answer of a backend server.",
    "refused": "The gateway answered the request with an error; see status and cause.",
    "refused_at_once": (
        "The request was refused before it had a route and a client account."
    ),
    "broken_off": "The connection was closed in the middle of an answer.",
    "caller_left": "The caller closed its connection before the answer was complete.",
    "caller_fault": "A caller violated the protocol or a limit.",
    "handler_failed": "An unexpected error closed a connection.",
    "connection_broke": "The connection of a caller broke.",
    # Backend servers
    "backend_announced": (
        "A backend server is new or leaving, or its address or offer changed."
    ),
    "backend_withdrawn": "A backend server announced that it is about to stop.",
    "departure_told": "A leaving backend server reported when it will stop.",
    "departure_unknown": "A leaving backend server did not report when it will stop.",
    "call_refused": "A call of a backend server or an operator can't be decoded.",
    "backends_ordered": (
        "A number of backend servers was ordered for a zone and market; see status."
    ),
    "registry_not_fetched": "The registry of a peer gateway could not be fetched.",
    # Configuration
    "configuration_accepted": "A configuration was committed by the state group.",
    "configuration_refused": "The document of an operator is invalid.",
    "configuration_in_force": "A newer configuration was put in force at this gateway.",
    "configuration_not_fetched": (
        "No newer configuration could be fetched from a peer gateway."
    ),
    "stored_configuration_unreadable": "A committed configuration can't be decoded.",
    "proposal_failed": "One attempt to commit a configuration failed.",
    "read_refused": (
        "The newest configuration could not be read with a majority's confirmation."
    ),
    # Peer gateways and the state group
    "gateway_changed": "A peer gateway is now alive, suspect or dead, or it has left.",
    "link_broke": "An open link to a peer gateway broke.",
    "link_silent": (
        "An open link to a peer gateway carried no answer and was closed; the next "
        "message opens a new one."
    ),
    "link_not_opened": "A link to a peer gateway could not be opened.",
    "incoming_link_broke": "A link opened by a peer gateway broke.",
    "datagram_refused": "A host refused a datagram.",
    "datagram_dropped": "A received datagram can't be decoded.",
    "datagram_too_large": "A datagram was not sent because it exceeds the size limit.",
    "probe_dropped": "A received datagram of failure detection can't be decoded.",
    "limit_owner_silent": (
        "The owner of a limit did not answer; this gateway decides by its share of the "
        "limit."
    ),
    "group_founded": "This member initializes the state group.",
    "added_to_group": "This member was added to the state group.",
    "member_change": (
        "The leader added, promoted or removed a member of the state group, or failed "
        "to; see `outcome`."
    ),
    "member_ended": "The state member failed; the process stops.",
    "member_not_opened": "The data folder could not be opened; it is retried.",
    "state_set_aside": (
        "Damaged files were moved aside; the member joins the state group under a new "
        "id."
    ),
    # Duties
    "duties_taken": "This gateway now holds the lease for calls to the cloud API.",
    "duties_lost": "This gateway no longer holds the lease for calls to the cloud API.",
    "duty_failed": "A duty raised an unexpected error; the next step retries.",
    "lease_not_answered": (
        "The state group did not answer a proposal about the lease or a usage report."
    ),
    "usage_reported": "The cloud API answered a usage report; see status.",
    "usage_not_reported": "A usage report was not answered; it is sent again.",
    "usage_not_committed": (
        "The counts of a usage report were not committed by the state group."
    ),
    "order_not_answered": "An order for backend servers was not answered.",
    # The process
    "not_remembered": "The warm-start file for the next start could not be written.",
    "warm_start_unreadable": (
        "The warm-start file is unreadable or damaged and is ignored."
    ),
    "started": "The process listens on all its addresses.",
    "not_started": "The process could not start.",
    "stopping": "The process received a signal to stop.",
    "stopped": "The process stops.",
    "settings_reloaded": "Changed seeds were read from the settings file.",
    "settings_not_reloaded": "The settings file could not be read again.",
    "tick_failed": "A periodic task raised an unexpected error.",
}
"""Meaning of each event, as the reference and `tanager explain` print it."""
