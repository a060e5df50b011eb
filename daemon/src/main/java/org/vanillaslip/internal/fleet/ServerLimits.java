package org.vanillaslip.internal.fleet;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import java.util.OptionalDouble;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.routing.ServerLimit;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.Envelope;
import reactor.core.publisher.Mono;

/**
 * Records the limits that servers name in their answers, and exchanges them with the other hosts,
 * so that all leave a server in need alone before it has told each of them.
 */
public final class ServerLimits {

    /** While a limit holds, the other hosts are told this often at most. */
    private static final long NEWS_INTERVAL_NANOS = Duration.ofSeconds(2).toNanos();

    private final FleetDirectory mDirectory;
    private final PeerLinks mLinks;
    private final DecisionLoop mLoop;
    private final DaemonMetrics mMetrics;
    private final EventLog mLog;

    /** Creates the exchange without starting it. */
    public ServerLimits(
            FleetDirectory directory,
            PeerLinks links,
            DecisionLoop loop,
            DaemonMetrics metrics,
            EventLog log) {
        mDirectory = directory;
        mLinks = links;
        mLoop = loop;
        mMetrics = metrics;
        mLog = log;
    }

    /** Starts to receive news from other hosts. */
    public void start() {
        mLinks.handle(ServerLimitMessages.NEWS, this::handleNews);
    }

    /**
     * Records what a server said of itself in the head of an answer.
     *
     * @param sentNanos time at which the request was sent
     */
    public void record(FleetMember server, ServerNotice notice, long sentNanos) {
        if (!notice.limitReadable()) {
            mLog.log(FleetEvent.LIMIT_UNREADABLE, field("server", server.instance()));
            return;
        }
        long now = mLoop.clock().nowNanos();
        ServerLimit limit = server.limit();
        OptionalDouble before = limit.requestsPerSecond();
        if (notice.requestsPerSecond().isPresent()) {
            boolean newsDue = limit.ageNanos(now) >= NEWS_INTERVAL_NANOS;
            limit.recordNamed(notice.requestsPerSecond().getAsDouble(), now);
            if (newsDue || !before.equals(limit.requestsPerSecond())) {
                broadcast(server, now);
            }
        } else if (limit.recordNone(sentNanos)) {
            broadcast(server, now);
        }
        logChange(server, before, "answer");
    }

    private void broadcast(FleetMember server, long nowNanos) {
        mLinks.broadcast(ServerLimitMessages.news(LimitNews.of(server, nowNanos)));
    }

    private Mono<Envelope.Builder> handleNews(Envelope message) {
        ServerLimitMessages.news(message).forEach(news -> apply(news, message.getSender()));
        return Mono.empty();
    }

    /** Applies what another host has heard, unless this host's own knowledge is newer. */
    void apply(LimitNews news, String sender) {
        mDirectory
                .member(news.instance())
                .filter(news::isAbout)
                .ifPresent(
                        server -> {
                            OptionalDouble before = server.limit().requestsPerSecond();
                            long evidenceNanos =
                                    mLoop.clock().nowNanos() - news.ageMillis() * 1_000_000;
                            server.limit().applyNews(news.requestsPerSecond(), evidenceNanos);
                            logChange(server, before, sender);
                        });
    }

    private void logChange(FleetMember server, OptionalDouble before, String source) {
        OptionalDouble after = server.limit().requestsPerSecond();
        if (before.equals(after)) {
            return;
        }
        mMetrics.serverLimitChanged(after.isPresent());
        mLog.log(
                after.isPresent() ? FleetEvent.LIMIT_NAMED : FleetEvent.LIMIT_ENDED,
                field("server", server.instance()),
                field("born", server.registered().startedAtMillis()),
                field("per_second", after.orElse(-1)),
                field("before", before.orElse(-1)),
                field("source", source),
                field("age_ms", server.limit().ageNanos(mLoop.clock().nowNanos()) / 1_000_000));
    }
}
