package org.vanillaslip.internal.duty;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.internal.fleet.RegisteredServer;
import org.vanillaslip.internal.fleet.ServerModelState;
import org.vanillaslip.internal.platform.StoredObject;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** A platform that starts and removes servers as ordered, and records the calls that reach it. */
final class ScalingPlatform {

    static final String POOL = "pool";
    static final int SLOTS = 16;
    static final Duration BOOT_TIME = Duration.ofSeconds(8);

    /** A call that reached the platform. */
    record Call(long atMillis, String holder, long term, String failureDomain, int servers) {}

    /** How the platform treats a call. */
    enum Treatment {
        ACCEPTED,
        THROTTLED,
        REJECTED,
        /** The call takes effect, and its answer is lost. */
        ANSWER_LOST,
        /** The call does not arrive. */
        UNREACHED
    }

    private final Map<String, RegisteredServer> mServers = new TreeMap<>();
    private final Map<String, Integer> mOrdered = new HashMap<>();
    private final List<Boot> mBoots = new ArrayList<>();
    private final List<Call> mCalls = new ArrayList<>();
    private final Set<String> mCutOff = new HashSet<>();
    private Treatment mTreatment = Treatment.ACCEPTED;
    private long mMillis;
    private int mAttempts;
    private int mStarted;

    ScalingPlatform(Map<String, Integer> servers) {
        servers.forEach(
                (domain, count) -> {
                    mOrdered.put(domain, count);
                    for (int server = 0; server < count; server++) {
                        addServer(domain);
                    }
                });
    }

    void setTreatment(Treatment treatment) {
        mTreatment = treatment;
    }

    /** Cuts a host off from the platform's API. */
    void cutOff(String host) {
        mCutOff.add(host);
    }

    List<Call> calls() {
        return List.copyOf(mCalls);
    }

    /** Returns the number of calls that hosts tried to make. */
    int attempts() {
        return mAttempts;
    }

    int ordered(String domain) {
        return mOrdered.getOrDefault(domain, 0);
    }

    Map<String, RegisteredServer> servers() {
        return mServers;
    }

    /** Lists a server as leaving. */
    void announceLeaving(String name) {
        mServers.computeIfPresent(name, (server, entry) -> entry.asLeaving());
    }

    void advanceTo(long millis) {
        mMillis = millis;
        for (Boot boot : List.copyOf(mBoots)) {
            if (boot.readyAtMillis() <= millis) {
                mBoots.remove(boot);
                addServer(boot.domain());
            }
        }
    }

    private void addServer(String domain) {
        String name = domain + "-" + mStarted++;
        mServers.put(
                name,
                new RegisteredServer(
                        name,
                        mMillis,
                        POOL,
                        "10.0.0.1:80",
                        new FailureDomain(domain),
                        SLOTS,
                        false,
                        OptionalLong.empty(),
                        0,
                        new ServerModelState(0, false, Map.of(), Set.of(), Set.of())));
    }

    /** Returns the calls of one host. */
    DutyCalls calls(Scheduler scheduler) {
        return new DutyCalls() {
            @Override
            public Mono<DutyAnswer> reportUsage(
                    DutyRight right, long window, Map<String, Long> callsByWorkspace) {
                return Mono.error(new IllegalStateException("no usage report is expected"));
            }

            @Override
            public Mono<DutyAnswer> orderServers(
                    DutyRight right, String pool, String failureDomain, int servers) {
                return Mono.delay(Duration.ofMillis(5), scheduler)
                        .map(tick -> receive(right, failureDomain, servers));
            }
        };
    }

    private DutyAnswer receive(DutyRight right, String failureDomain, int servers) {
        mAttempts++;
        if (!right.permitted().getAsBoolean()) {
            return DutyAnswer.NOT_PERMITTED;
        }
        if (mCutOff.contains(right.holder()) || mTreatment == Treatment.UNREACHED) {
            return DutyAnswer.UNREACHED;
        }
        if (mTreatment == Treatment.THROTTLED) {
            return DutyAnswer.THROTTLED;
        }
        mCalls.add(new Call(mMillis, right.holder(), right.term(), failureDomain, servers));
        if (mTreatment == Treatment.REJECTED) {
            return DutyAnswer.REJECTED;
        }
        apply(failureDomain, servers);
        return mTreatment == Treatment.ANSWER_LOST ? DutyAnswer.UNKNOWN : DutyAnswer.ACCEPTED;
    }

    private void apply(String domain, int servers) {
        for (int count = ordered(domain); count < servers; count++) {
            mBoots.add(new Boot(domain, mMillis + BOOT_TIME.toMillis()));
        }
        for (int count = ordered(domain); count > servers; count--) {
            mServers.keySet().stream()
                    .filter(name -> name.startsWith(domain + "-"))
                    .findFirst()
                    .ifPresent(mServers::remove);
        }
        mOrdered.put(domain, servers);
    }

    static StoredObject entry(String name, long version) {
        return new StoredObject("servers", name, version, JsonNodeFactory.instance.objectNode());
    }

    private record Boot(String domain, long readyAtMillis) {}
}
