package org.vanillaslip.internal.proofs.quota;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.vanillaslip.Refusal;
import org.vanillaslip.internal.gateway.QuotaCharge;

/** One run of a deployment under a policy. */
final class PolicyRun {

    static final Duration DEADLINE = Duration.ofSeconds(10);

    /** The wait that the gateway gives an interactive request with this deadline. */
    private static final Duration CHARGE_WAIT = DEADLINE.dividedBy(8);

    /** Buckets fill in 10 s, after the 4 s in which a fresh host refills nothing. */
    private static final long START = Duration.ofSeconds(20).toNanos();

    /** Servers bear somewhat more than all plans together. */
    private static final double HEADROOM = 1.25;

    private final Setting mSetting;
    private final long mEnd;
    private final VirtualScheduler mScheduler = new VirtualScheduler();
    private final MeasuredHosts mHosts;
    private final List<ServerStage> mStages = new ArrayList<>();
    private final Map<String, Tally> mTallies = new LinkedHashMap<>();
    private long mMessages;

    PolicyRun(Setting setting, Policy policy, boolean fair, long seed, Duration length) {
        mSetting = setting;
        mEnd = START + length.toNanos();
        mHosts = new MeasuredHosts(setting, policy, mScheduler, seed);
        for (int i = 0; i < setting.hosts(); i++) {
            double perHost = setting.totalRate() * HEADROOM / setting.hosts();
            mStages.add(new ServerStage(mScheduler, fair, perHost));
        }
        for (Load load : setting.loads()) {
            mTallies.put(load.workspace(), new Tally(load));
        }
        for (Arrival arrival : Arrival.draw(setting, seed, START, mEnd)) {
            mScheduler.at(arrival.at(), () -> arrive(arrival));
        }
    }

    PolicyRun run() {
        mScheduler.runUntil(START - 1);
        long before = mHosts.messages();
        mScheduler.runUntil(mEnd);
        mMessages = mHosts.messages() - before;
        mScheduler.runUntil(mEnd + DEADLINE.toNanos());
        return this;
    }

    /** Returns refusals inside the rate, of workspaces whose demand matches. */
    int wronglyRefused(Predicate<Load> which) {
        return tallies(which).mapToInt(Tally::wronglyRefused).sum();
    }

    double mostOver() {
        return mTallies.values().stream().mapToDouble(Tally::mostOver).max().orElse(0);
    }

    int requests() {
        return mTallies.values().stream().mapToInt(Tally::requests).sum();
    }

    Tally worstServed() {
        return worst(mTallies.values());
    }

    String worstName() {
        Tally worst = worstServed();
        return mTallies.entrySet().stream()
                .filter(entry -> entry.getValue() == worst)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse("");
    }

    /** Returns the longest p99 wait of the workspaces whose demand matches. */
    double longestWait(Predicate<Load> which) {
        return tallies(which).mapToDouble(tally -> tally.waitMillis(0.99)).max().orElse(0);
    }

    private Stream<Tally> tallies(Predicate<Load> which) {
        return mSetting.loads().stream()
                .filter(which)
                .flatMap(load -> Stream.ofNullable(mTallies.get(load.workspace())));
    }

    double messagesPerSecond() {
        return mMessages / ((mEnd - START) / 1e9);
    }

    double messagesPerRequest() {
        return (double) mMessages / Math.max(1, requests());
    }

    private void arrive(Arrival arrival) {
        Tally tally = mTallies.get(arrival.load().workspace());
        if (tally != null) {
            boolean inside = tally.arrive(arrival);
            mHosts.charge(arrival, CHARGE_WAIT)
                    .subscribe(result -> charged(arrival, tally, inside, result));
        }
    }

    private void charged(
            Arrival arrival, Tally tally, boolean inside, Either<Refusal, QuotaCharge> result) {
        if (result.isLeft()) {
            tally.refuse(inside);
            return;
        }
        tally.charge(arrival, mScheduler.nowNanos());
        mHosts.settle(arrival.host(), result.get());
        boolean queued =
                mStages.get(arrival.host()).enter(arrival, () -> started(arrival, tally, inside));
        if (!queued) {
            tally.refuse(inside);
        }
    }

    private void started(Arrival arrival, Tally tally, boolean inside) {
        long now = mScheduler.nowNanos();
        if (now - arrival.at() > DEADLINE.toNanos()) {
            tally.refuse(inside);
        } else {
            tally.serve(arrival, now);
        }
    }

    private static Tally worst(Collection<Tally> tallies) {
        return tallies.stream()
                .min(Comparator.comparingDouble(Tally::shareOfEntitlement))
                .orElseThrow();
    }
}
