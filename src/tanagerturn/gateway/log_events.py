"""All events that a gateway logs, for the reference, `explain` and its test."""

from __future__ import annotations

from typing import Final

COMMON_FIELDS: Final = ("at", "process", "level", "event", "part")
"""Wall clock in seconds, process, level, event and part: in each line."""

EVENTS: Final[dict[str, str]] = {
    # Requests
    "sent": "A request goes to a backend server; expected and known load, with ages.",
    "tried_again": "A sending failed and the request goes to another backend server.",
    "moved": "A stream was stopped to go on at another engine.",
    "answered": "The caller got a whole answer.",
    "failed_by_backend": "The caller got the backend server's own failure.",
    "refused": "The request was given up; status and cause.",
    "refused_at_once": "The request was refused before it had a route or account.",
    "broken_off": "An answer that had begun was cut.",
    "caller_left": "The caller closed its connection before the answer.",
    "caller_fault": "A caller broke the protocol or a limit.",
    "handler_failed": "An unexpected error ended a connection.",
    "connection_broke": "A caller's connection broke.",
    # Backend servers
    "backend_announced": "A backend server is new, leaves or has another address.",
    "backend_withdrawn": "A backend server said that it ends.",
    "departure_told": "A backend server told when it ends.",
    "departure_unknown": "A backend server that leaves did not tell when it ends.",
    "call_refused": "A call of a backend server or operator can't be read.",
    "backends_ordered": "Backend servers were ordered or given back.",
    "registry_not_fetched": "Another gateway's backend servers could not be read.",
    # Configuration
    "configuration_accepted": "A configuration is durable.",
    "configuration_refused": "An operator's document is invalid.",
    "configuration_in_force": "A newer configuration is in force here.",
    "configuration_not_fetched": "Another gateway did not give its configuration.",
    "stored_configuration_unreadable": "A stored document can't be decoded.",
    "proposal_failed": "A configuration was not committed at this try.",
    "read_refused": "The newest configuration is not certain.",
    # Other gateways and the state group
    "gateway_changed": "Another gateway is alive, suspect, dead or has left.",
    "link_broke": "An open link to another gateway broke.",
    "link_silent": "A link sent no answer though it is open; it is opened anew.",
    "link_not_opened": "A link to another gateway could not be opened.",
    "incoming_link_broke": "A link of another gateway broke.",
    "datagram_refused": "A host refused a datagram.",
    "datagram_dropped": "A datagram can't be read.",
    "datagram_too_large": "A datagram was not sent.",
    "probe_dropped": "A datagram of failure detection can't be read.",
    "limit_owner_silent": "The owner of a limit did not answer; parts decide.",
    "group_founded": "This member founds the state group.",
    "added_to_group": "This member was added to the state group.",
    "member_change": "The leader changed the group's members.",
    "member_ended": "The member can't go on; the process ends.",
    "member_not_opened": "The data folder can't be used now; it is tried again.",
    "state_set_aside": "Damaged files were set aside; the member joins anew.",
    # Duties
    "duties_taken": "This gateway may call the cloud API.",
    "duties_lost": "Another gateway may call the cloud API.",
    "duty_failed": "An unexpected error in a duty; the next step tries again.",
    "lease_not_answered": "The lease was neither granted nor renewed.",
    "usage_reported": "A usage report was answered.",
    "usage_not_reported": "A usage report had no answer.",
    "usage_not_committed": "The counts of a report were not committed.",
    "order_not_answered": "An order for backend servers had no answer.",
    # The process
    "not_remembered": "The disk did not take what the next start needs.",
    "warm_start_unreadable": "What was remembered before the start is damaged.",
    "started": "The process listens.",
    "not_started": "The process can't start.",
    "stopping": "The process was told to stop.",
    "stopped": "The process ends.",
    "settings_reloaded": "Seeds changed.",
    "settings_not_reloaded": "The settings file can't be read.",
    "tick_failed": "An unexpected error in regular work.",
}
"""Meaning of each event."""
