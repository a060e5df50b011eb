package org.vanillaslip.internal.metrics;

import java.util.List;

/** The metrics of the daemon; {@code docs/METRICS.md} holds the same table. */
enum DaemonMetric {
    REQUESTS(
            "vanillaslip.requests",
            "vanillaslip_requests_total",
            "Finished requests; code 0 is a complete answer, 'caller_left' means that the caller"
                    + " closed the connection, any other is a result code. Class 'none': refused"
                    + " before the route was known.",
            "class",
            "code"),
    TIME_TO_FIRST_TOKEN(
            "vanillaslip.time.to.first.token",
            "vanillaslip_time_to_first_token_seconds",
            "Time from the acceptance of a request to its first token.",
            "class"),
    QUEUE_WAIT(
            "vanillaslip.queue.wait",
            "vanillaslip_queue_wait_seconds",
            "Time that a request waited before it was sent or refused.",
            "class"),
    COLD_STARTS(
            "vanillaslip.cold.start",
            "vanillaslip_cold_start_seconds",
            "Time from the first request of this host for an unloaded model or adapter until a"
                    + " replica was loaded.",
            "kind"),
    PLATFORM_CALLS(
            "vanillaslip.platform.calls",
            "vanillaslip_platform_calls_total",
            "Calls to the platform's object API, with those that the call budget refused. A watch"
                    + " is counted when it ends.",
            "kind",
            "result"),
    PEER_MESSAGES(
            "vanillaslip.peer.messages",
            "vanillaslip_peer_messages_total",
            "Messages between hosts by body type.",
            "direction",
            "body"),
    PEER_BYTES(
            "vanillaslip.peer.bytes",
            "vanillaslip_peer_bytes_total",
            "Bytes of messages between hosts by body type; a forwarded message counts as what it"
                    + " contains.",
            "direction",
            "body"),
    QUOTA_TOKENS_GRANTED(
            "vanillaslip.quota.tokens.granted",
            "vanillaslip_quota_tokens_granted_total",
            "Quota tokens that this host has lent to other hosts.",
            "limit"),
    QUOTA_TOKENS_BORROWED(
            "vanillaslip.quota.tokens.borrowed",
            "vanillaslip_quota_tokens_borrowed_total",
            "Quota tokens that this host has received from other hosts.",
            "limit"),
    RELAY_ANSWERS(
            "vanillaslip.relay.answers",
            "vanillaslip_relay_answers_total",
            "Answers of backend servers that were passed on, by kind of call.",
            "kind",
            "status"),
    RELAY_FIRST_EVENT(
            "vanillaslip.relay.first.event",
            "vanillaslip_relay_first_event_seconds",
            "Time from the arrival of a pass-through call to its first event.",
            "kind"),
    RELAY_REFUSALS(
            "vanillaslip.relay.refusals",
            "vanillaslip_relay_refusals_total",
            "Pass-through calls that got no answer of a backend server, by result code.",
            "code"),
    RELAY_BROKEN(
            "vanillaslip.relay.broken",
            "vanillaslip_relay_broken_total",
            "Pass-through answers that broke off.",
            "kind"),
    SERVER_LIMITS(
            "vanillaslip.server.limits",
            "vanillaslip_server_limits_total",
            "Limits of backend servers that this host learned of, and their ends.",
            "change"),
    SERVERS_LEAVING(
            "vanillaslip.servers.leaving",
            "vanillaslip_servers_leaving_total",
            "Backend servers of which this host learned from an answer that they leave.",
            "source"),
    SERVER_PAUSES(
            "vanillaslip.server.pauses",
            "vanillaslip_server_pauses_total",
            "Pauses that backend servers asked this host for when they turned a call away.",
            "source"),
    SEND_PERMITS(
            "vanillaslip.send.permits",
            "vanillaslip_send_permits_total",
            "Permits that this host requested for calls to backend servers with a limit.",
            "result"),
    USAGE_WINDOWS(
            "vanillaslip.usage.windows",
            "vanillaslip_usage_windows_total",
            "Usage windows that this host, as lease holder, recorded to be reported or left out;"
                    + " windows that are left out together count once.",
            "result"),
    USAGE_REPORTS(
            "vanillaslip.usage.reports",
            "vanillaslip_usage_reports_total",
            "Calls with a usage report that this host made, by answer.",
            "answer"),
    USAGE_CALLS_LATE(
            "vanillaslip.usage.calls.late",
            "vanillaslip_usage_calls_late_total",
            "Calls that the lease holder heard of after the report of their window was recorded.",
            "source"),
    SERVER_SPEED(
            "vanillaslip.server.speed",
            "vanillaslip_server_speed",
            "Measured speed of a backend server, relative to the median of its pool; only on the"
                    + " host that holds the lease.",
            "pool",
            "server"),
    SERVERS_ORDERED(
            "vanillaslip.servers.ordered",
            "vanillaslip_servers_ordered",
            "Ordered number of backend servers; only on the host that holds the lease.",
            "pool",
            "failure_domain"),
    SERVERS_LISTED(
            "vanillaslip.servers.listed",
            "vanillaslip_servers_listed",
            "Listed backend servers of a scaled pool that do not leave; only on the host that"
                    + " holds the lease.",
            "pool",
            "failure_domain"),
    RANKED_CALLS(
            "vanillaslip.ranked.calls",
            "vanillaslip_ranked_calls_total",
            "Calls that waited while calls were ranked: served in the order of rank, lifted because"
                    + " their group was served too rarely, returned after a refusal, out_of_reach"
                    + " or displaced by a call of higher rank.",
            "result");

    private final String mMeterName;
    private final String mScrapeName;
    private final String mDescription;
    private final String mLabels;

    DaemonMetric(String meterName, String scrapeName, String description, String... labels) {
        mMeterName = meterName;
        mScrapeName = scrapeName;
        mDescription = description;
        mLabels = String.join(",", labels);
    }

    String meterName() {
        return mMeterName;
    }

    /** Returns the name in the scrape text; timers add suffixes such as {@code _count}. */
    String scrapeName() {
        return mScrapeName;
    }

    String description() {
        return mDescription;
    }

    List<String> labels() {
        return List.of(mLabels.split(",", -1));
    }
}
