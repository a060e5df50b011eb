package org.vanillaslip.internal.fleet;

import static org.vanillaslip.internal.logging.LogField.field;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.membership.RendezvousRanking;
import org.vanillaslip.internal.metrics.DaemonMetrics;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.internal.peer.RelayNetwork;
import org.vanillaslip.internal.routing.SendPermits;
import org.vanillaslip.internal.routing.SendSchedule;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.Envelope;
import reactor.core.publisher.Mono;

/**
 * Shares the limit of a server among all hosts. One relay, found by rendezvous hashing of the
 * server's start, keeps the schedule of the server and lends single sends to hosts that ask, over
 * the relays. It lends the part of the limit that corresponds to the part of the listed hosts that
 * it reaches, so that the parts of a divided network add up to the limit.
 */
public final class SendPermitExchange implements PermitSource {

    /** How far ahead a send can be reserved; calls that can wait longer ask again. */
    private static final Duration MAX_RESERVATION = Duration.ofMillis(1500);

    /** From a host over its relay and another relay to the holder. */
    private static final int MAX_HOPS = 3;

    /** Longer than the time between distant hosts; each hop has this time less. */
    private static final Duration REPLY_TIME_PER_HOP = Duration.ofMillis(150);

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final FleetDirectory mDirectory;
    private final ServerLimits mLimits;
    private final RelayNetwork mNetwork;
    private final PeerLinks mLinks;
    private final DecisionLoop mLoop;
    private final DaemonMetrics mMetrics;
    private final EventLog mLog;
    private final RendezvousRanking mRanking = new RendezvousRanking();
    private final Map<String, HeldSchedule> mSchedules = new HashMap<>();

    /** Creates the exchange without starting it. */
    public SendPermitExchange(
            FleetDirectory directory,
            ServerLimits limits,
            RelayNetwork network,
            PeerLinks links,
            DecisionLoop loop,
            DaemonMetrics metrics,
            EventLog log) {
        mDirectory = directory;
        mLimits = limits;
        mNetwork = network;
        mLinks = links;
        mLoop = loop;
        mMetrics = metrics;
        mLog = log;
    }

    /** Starts to lend sends to other hosts. */
    public void start() {
        mLinks.handle(ServerLimitMessages.REQUEST, this::handleRequest);
    }

    @Override
    public void request(FleetMember server, int calls, long deadlineNanos) {
        long now = now();
        SendPermits permits = server.permits();
        long within = Math.min(MAX_RESERVATION.toNanos(), deadlineNanos - now);
        if (within < 0 || !permits.isRequestDue(calls, now)) {
            return;
        }
        permits.recordRequest(now);
        SendRequest request =
                new SendRequest(
                        server.startId(), LimitNews.of(server, now), within / NANOS_PER_MILLI, 0);
        obtain(request)
                .map(Optional::of)
                .defaultIfEmpty(Optional.empty())
                .subscribe(reply -> record(server, reply, within));
    }

    private void record(FleetMember server, Optional<SendReply> reply, long withinNanos) {
        long now = now();
        SendPermits permits = server.permits();
        if (reply.isEmpty()) {
            permits.recordNoReply(now);
            mMetrics.sendPermitRequested("unanswered");
        } else if (reply.get().granted()) {
            permits.recordGrant(now + reply.get().delayMillis() * NANOS_PER_MILLI);
            mMetrics.sendPermitRequested("granted");
        } else {
            long nextFree = now + reply.get().delayMillis() * NANOS_PER_MILLI;
            permits.recordRefusal(nextFree, withinNanos, now);
            mMetrics.sendPermitRequested("refused");
        }
    }

    private Mono<Envelope.Builder> handleRequest(Envelope message) {
        return Mono.justOrEmpty(ServerLimitMessages.request(message))
                .doOnNext(request -> mLimits.apply(request.limit(), message.getSender()))
                .flatMap(this::obtain)
                .map(ServerLimitMessages::reply);
    }

    /** Lends a send if this host holds the schedule of the server, or else asks the next host. */
    private Mono<SendReply> obtain(SendRequest request) {
        Optional<String> holder = nextHost(request.startId());
        if (holder.equals(Optional.of(mNetwork.hostName()))) {
            return Mono.just(lend(request));
        }
        mSchedules.computeIfPresent(
                request.startId(),
                (startId, schedule) -> {
                    schedule.recordPassedOn();
                    return schedule;
                });
        SendRequest next = request.passedOn();
        if (holder.isEmpty() || next.hops() > MAX_HOPS) {
            return Mono.empty();
        }
        return mLinks.request(
                        holder.get(),
                        ServerLimitMessages.request(next),
                        REPLY_TIME_PER_HOP.multipliedBy(MAX_HOPS + 1L - next.hops()))
                .filter(Either::isRight)
                .map(reply -> ServerLimitMessages.reply(reply.get()));
    }

    /** Returns the holder of the schedule, or the relay of this host. */
    private Optional<String> nextHost(String startId) {
        return mNetwork.isRelay()
                ? mRanking.first(startId, mNetwork.liveRelays())
                : mNetwork.preferredRelay();
    }

    private SendReply lend(SendRequest request) {
        long now = now();
        dropSchedulesOfGoneServers(now);
        double perSecond = permittedPerSecond(request.limit()) * mNetwork.reachedPart();
        if (perSecond <= 0) {
            return new SendReply(false, MAX_RESERVATION.toMillis());
        }
        SendSchedule schedule = heldSchedule(request.startId(), perSecond, now).use(now);
        long time = schedule.nextTime(perSecond, now);
        long delayMillis = (time - now + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
        if (delayMillis > request.withinMillis()) {
            return new SendReply(false, delayMillis);
        }
        schedule.take(time);
        return new SendReply(true, delayMillis);
    }

    private HeldSchedule heldSchedule(String startId, double perSecond, long nowNanos) {
        HeldSchedule held =
                mSchedules.computeIfAbsent(startId, start -> new HeldSchedule(nowNanos));
        if (!held.isHeld()) {
            mLog.log(
                    FleetEvent.LIMIT_HELD,
                    field("server", startId),
                    field("per_second", perSecond));
        }
        return held;
    }

    /** Returns the rate known to this host, or that of the request for a server not yet listed. */
    private double permittedPerSecond(LimitNews limit) {
        return mDirectory
                .member(limit.instance())
                .filter(limit::isAbout)
                .filter(server -> server.limit().isLimited())
                .map(server -> server.limit().permittedPerSecond())
                .orElseGet(() -> limit.requestsPerSecond().orElse(0));
    }

    /** The list of this host may lack a server that other hosts already send to. */
    private void dropSchedulesOfGoneServers(long nowNanos) {
        mSchedules
                .entrySet()
                .removeIf(
                        entry -> entry.getValue().isUnused(nowNanos) && !isListed(entry.getKey()));
    }

    private boolean isListed(String startId) {
        return mDirectory
                .member(FleetMember.instance(startId))
                .filter(server -> server.startId().equals(startId))
                .isPresent();
    }

    private long now() {
        return mLoop.clock().nowNanos();
    }
}
