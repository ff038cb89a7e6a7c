"""All events that a gateway logs: source of the reference and of `tanager explain`."""

from __future__ import annotations

from typing import Final

COMMON_FIELDS: Final = ("at", "process", "level", "event", "part")
"""Fields of every line: wall-clock time in seconds, name of the process, level, event
and component."""

EVENTS: Final[dict[str, str]] = {
    # Requests
    "sent": (
        "A backend attempt starts, before its connection is opened; `running` and "
        "`prompt_tokens` are the known load of the backend server, and `configuration` "
        "is the version in force. `time_factor` is the speed factor that "
        "`expected_s` includes, 1 unless its service reports speeds. A stream goes on "
        "after `after_event`; `resumes` is the attempt that began it, if the caller "
        "took it up."
    ),
    "tried_again": (
        "A backend attempt failed; the request is retried at another backend server."
    ),
    "attempt_broke": (
        "A backend server's response was missing, malformed or incomplete; "
        "`fingerprint` is equal for all attempts of a request at all gateways, `parts` "
        "are the ids of the prompt's parts, and `writing_s` is the time since the "
        "first data of the response, absent before it. `framing` and `move` are those "
        "of `answered`."
    ),
    "opened_late": (
        "A connection for a backend attempt opened `opening_s` after it was `sent`; "
        "whether the backend server may still get the request is checked again."
    ),
    "sent_to_leaving": (
        "A request is written to a backend server that is known to be leaving for "
        "`known_s`; `continues` if it goes on there from a copy of its KV cache."
    ),
    "moved": (
        "A stream was migrated to another engine, or its migration failed; see "
        "`outcome`."
    ),
    "answered": (
        "The complete response was sent to the caller. In this and the other events "
        "that end a request, `framing` is how the last response was delimited "
        "(`length`, `chunked` or `close`), `move` is the state of its migration "
        "(`none`, `pending`, `moved` or `failed`), `last_event` is the id of the last "
        "event and `max_output_tokens` is what the caller allows."
    ),
    "failed_by_backend": (
        "The error response of a backend server was sent to the caller."
    ),
    "refused": (
        "The gateway itself responded with an error; see `status` and `cause`. "
        "`scarcity` is `price`, `late` or `unservable` if the shared price decided it."
    ),
    "capacity_scarce": (
        "The price of engine time of a service has risen above 0: requests are served "
        "up to `level` (all priorities below it, and its fraction of the next one); "
        "`demand` and `engines` are engine seconds per second, `reports` the peers "
        "heard from."
    ),
    "capacity_sufficient": "The price of engine time of a service is 0 again.",
    "refused_at_once": (
        "The request was refused before it had a route and a client account."
    ),
    "broken_off": (
        "The gateway closed the caller's connection in the middle of a response."
    ),
    "caller_left": "The caller closed its connection before its response was complete.",
    "caller_fault": "A caller violated the protocol or a limit.",
    "overload_refused": (
        "Requests or connections were refused or closed for want of memory or "
        "descriptors; `count` of this `kind` since its last line, at most one line a "
        "second."
    ),
    "handler_failed": (
        "A request handler raised an unexpected error; its connection was closed."
    ),
    "connection_broke": "The connection of a caller broke.",
    "forwarded": (
        "A request is forwarded to a peer gateway, since this one reaches no backend "
        "server that may get it; the peer logs the attempts."
    ),
    "forwarding_refused": "A request of a peer gateway had no valid forwarding header.",
    "late_answer": (
        "The answer to a request arrived just after the request was given up; only "
        "what the backend server states of itself is used."
    ),
    "stray_response": (
        "A backend server sent a response to another request than the pending one, "
        "`answers`; it is skipped."
    ),
    "end_checked": (
        "A response without length and chunks ended with its connection; `proof` is "
        "what shows that it is `complete`, or `reason` why it may not be."
    ),
    # Backend servers
    "paths_lost": (
        "None of the checked backend servers accepts a connection: this gateway is cut "
        "off from them."
    ),
    "paths_restored": "A backend server accepts a connection of this gateway again.",
    "service_brittle": (
        "The backend servers of a service state that they fail when they reject many "
        "requests; their slots are divided among the gateways."
    ),
    "path_check_failed": "A check of the paths to backend servers raised an error.",
    "backend_announced": (
        "A backend server is new or leaving, or its address or offer changed."
    ),
    "announcement_ignored": (
        "An announcement was answered with status 409: a later start of the backend "
        "server is known, or a field is invalid."
    ),
    "backend_withdrawn": (
        "A backend server announced, or stated in a response, that it is about to stop."
    ),
    "departure_learned": (
        "This gateway learned that a backend server leaves: from its `announcement`, "
        "`withdrawal` or `response`, or from `peer`: by its `departures` message, a "
        "`confirmation` that it asks for, its `digest`, its `registry`, or an `update` "
        "(the `sending`, from 1) of an older version."
    ),
    "departure_acknowledged": (
        "The departure of a backend server was acknowledged for the first time here, "
        "`took_s` after this gateway learned of it; `alone` if no peer confirmed it."
    ),
    "departure_unconfirmed": (
        "None of the `asked` peers confirmed a departure, so it is not acknowledged."
    ),
    "departure_told": "A leaving backend server reported when it will stop.",
    "departure_unknown": "A leaving backend server did not report when it will stop.",
    "limit_named": (
        "A backend server's response names another request limit than is known here, "
        "in requests per second; absent if it names none."
    ),
    "pause_asked": (
        "A backend server rejected a request and wants no other one for `pause_s`."
    ),
    "engine_crashed": (
        "A backend server broke requests off and refuses connections; `fingerprints` "
        "are those of the requests, and `parts` the shared parts of their prompts."
    ),
    "part_quarantined": (
        "Requests with a prompt part are rejected, because engines crashed under it."
    ),
    "part_released": "Requests with a prompt part are no longer rejected.",
    "request_quarantined": (
        "A request is rejected, because backend servers crashed under it; `guilty` is "
        "false if another cause of the crashes is known."
    ),
    "request_released": "A request is no longer rejected.",
    "part_tried": (
        "A request with a quarantined prompt part is sent to an engine, to find out "
        "whether it still crashes it."
    ),
    "quarantine_rejections": (
        "Number of requests to a service that quarantines rejected in the last 10 s; "
        "an error if they are over a tenth of its requests."
    ),
    "request_tried": (
        "A quarantined request is sent to a backend server, to find out whether it "
        "still crashes it."
    ),
    "call_refused": "A call of a backend server or an operator can't be decoded.",
    "backends_ordered": (
        "A number of backend servers was ordered for a zone and market; see `status`. "
        "`engine_tokens` is the measured capacity of one engine in tokens per second, "
        "and `raised` the factor on their number because of late requests; both are "
        "absent unless the engines report their speed."
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
        "An open link to a peer gateway carried no response in time and was closed; "
        "the next message opens a new one."
    ),
    "link_not_opened": "A link to a peer gateway could not be opened.",
    "incoming_link_broke": "A link opened by a peer gateway broke.",
    "datagram_refused": "A host refused a datagram.",
    "exchange_late": (
        "Datagrams of peers were read or applied late in the last second: `lag_s` is "
        "the longest delay of a round that reads them, `digest_age_s` the longest time "
        "since the sending of a digest; `missed_digests` were not received since the "
        "start."
    ),
    "datagram_dropped": "A received datagram can't be decoded.",
    "datagram_too_large": "A datagram was not sent because it exceeds the size limit.",
    "probe_dropped": "A received datagram of the failure detection can't be decoded.",
    "limit_owner_silent": (
        "The owner of a client account's limit, or the gateway asked instead of it, "
        "did not respond; see `reason`."
    ),
    "limit_unverified": (
        "A request was refused because neither the owner of its client account's limit "
        "nor another gateway responded, and the reserve is used up."
    ),
    "limit_charged": (
        "The units of a client account, or requests to a limited backend server, that "
        "this gateway checked in the last second, by charge; two gateways that log "
        "`admitted` for the same account at the same time both act as the owner of its "
        "limit."
    ),
    "limit_owner_changed": (
        "This gateway no longer owns the limit of a client account."
    ),
    "group_founded": (
        "This member starts the state group, with the others of `members`."
    ),
    "added_to_group": "This member was added to the state group.",
    "member_change": (
        "The leader added, promoted or removed a member of the state group, or failed "
        "to; see `outcome`."
    ),
    "vote_not_stored": (
        "This host's vote on the first members of the state group could not be stored; "
        "what depends on it is tried again."
    ),
    "founding_state": (
        "What this host believes of the founding of the state group has changed: it "
        "is `awaiting hosts`, `proposing`, the first members are `agreed`, or it has "
        "`ended`, since a group exists. `hosts` is the number of known hosts with a "
        "disk, `required` how many have to agree, `unheard` the addresses of seeds "
        "without a message until now, and `awaited` those that did not answer in the "
        "last round."
    ),
    "first_members_agreed": (
        "The hosts with a disk have agreed on the first members of the state group."
    ),
    "leadership_taken": (
        "This member started an election: the leader is of a version that does not "
        "replace voters that were told to stop."
    ),
    "place_kept": (
        "The process stops although the state group still counts on its member: no "
        "other member took its place in time."
    ),
    "member_ended": "The state group member failed; the process exits with code 1.",
    "member_not_opened": (
        "The data folder could not be opened; another attempt follows."
    ),
    "member_not_started": (
        "The member could not start because its disk is full; another attempt follows."
    ),
    "state_set_aside": (
        "Damaged files were moved aside; the member joins the state group under a new "
        "id."
    ),
    # Duties
    "duties_taken": "This gateway now holds the lease for calls to the cloud API.",
    "duties_lost": "This gateway no longer holds the lease for calls to the cloud API.",
    "duty_failed": (
        "A step of the duties raised an unexpected error; the next step retries."
    ),
    "lease_not_answered": (
        "The state group did not respond to a proposal for the lease or a usage report."
    ),
    "usage_reported": "The cloud API responded to a usage report; see `status`.",
    "usage_not_reported": (
        "The cloud API did not respond to a usage report; the report is sent again."
    ),
    "usage_not_committed": (
        "The counts of a usage report were not committed by the state group."
    ),
    "order_not_answered": (
        "The cloud API did not respond to an order for backend servers."
    ),
    # Rollouts
    "rollout_ordered": "An order for a rollout was accepted here and is durable.",
    "rollout_refused": (
        "An order for a rollout was refused; with `status` 503 it may be durable, or "
        "`reason` names hosts that are not known to support rollouts."
    ),
    "rollout_permission": (
        "This gateway applies another permission of a rollout; `share` of the requests "
        "may use the target. It expires unless `holder` renews it; without a holder it "
        "allows none."
    ),
    "rollouts_taken": (
        "This gateway now holds the lease for rollouts and reads their orders."
    ),
    "rollout_decided": (
        "The holder has committed a state and a share; see `reason`. A share below the "
        "previous one, or `rolled_back`, follows from evidence or missing time."
    ),
    "rollout_not_committed": (
        "A state of a rollout, or an order, was not committed by the state group."
    ),
    "rollout_not_read": (
        "An order could not be read with a majority's confirmation; versions that are "
        "new to this gateway get no requests meanwhile."
    ),
    "rollout_step_failed": (
        "A step of the holder raised an unexpected error; the next step retries."
    ),
    # The process
    "not_remembered": "The warm-start file for the next start could not be written.",
    "warm_start_unreadable": (
        "The warm-start file is unreadable or damaged and is ignored."
    ),
    "started": "The process listens on all its addresses.",
    "not_started": "The process could not start.",
    "stopping": (
        "The process received SIGTERM; `running` is the number of requests in progress."
    ),
    "stopped": "The process stops; `running` is the number of unfinished requests.",
    "settings_reloaded": "Changed seeds were read from the settings file.",
    "settings_not_reloaded": "The settings file could not be read again.",
    "tick_failed": "A periodic task raised an unexpected error.",
}
"""Meaning of each event, as the reference and `tanager explain` print it."""
