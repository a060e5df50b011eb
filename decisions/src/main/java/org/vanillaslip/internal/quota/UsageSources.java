package org.vanillaslip.internal.quota;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/** The sources that report to this host how much of a bucket they use. */
final class UsageSources {

    /** A source that is not listed and has not reported for this long has been stopped. */
    private static final long REMOVAL_NANOS = Duration.ofSeconds(30).toNanos();

    private final Map<String, UsageSource> mSources = new HashMap<>();

    /** Tokens admitted by removed sources, so that the totals in summaries never decrease. */
    private final Map<String, Long> mRemovedUsage = new HashMap<>();

    private int mHostCount = 1;
    private OptionalDouble mExpectedDemandPerHost = OptionalDouble.empty();

    /**
     * Adds and updates the listed sources, and removes those that are neither listed nor heard.
     *
     * @param listed host counts by name
     */
    void update(Map<String, Integer> listed, long nowNanos) {
        listed.forEach((name, hosts) -> source(name, hosts, nowNanos).setHosts(hosts));
        remove(
                (name, source) ->
                        !listed.containsKey(name)
                                && nowNanos - source.lastReportAt() > REMOVAL_NANOS,
                UsageSource::totalAdmitted);
        mSources.values().forEach(source -> source.removeSilentRelays(nowNanos - REMOVAL_NANOS));
        countHosts();
    }

    /**
     * Removes all sources; the next ones are expected to have the same demand until they report.
     */
    void replaceAll() {
        if (mExpectedDemandPerHost.isPresent()) {
            double demand = mSources.values().stream().mapToDouble(UsageSource::demand).sum();
            expectDemandPerHost(mHostCount > 1 ? demand / (mHostCount - 1) : 0);
        }
        remove((name, source) -> true, source -> source.totalAdmitted() + source.assumedUsage());
        countHosts();
    }

    /** Sets the demand of each host of new sources until they report. */
    void expectDemandPerHost(double demand) {
        mExpectedDemandPerHost = OptionalDouble.of(demand);
    }

    /** Returns the source, added if it is not known. */
    UsageSource source(String name, int hosts, long nowNanos) {
        return mSources.computeIfAbsent(
                name, added -> new UsageSource(hosts, expectedDemand(hosts), nowNanos));
    }

    private OptionalDouble expectedDemand(int hosts) {
        return mExpectedDemandPerHost.isPresent()
                ? OptionalDouble.of(mExpectedDemandPerHost.getAsDouble() * hosts)
                : OptionalDouble.empty();
    }

    Collection<UsageSource> all() {
        return mSources.values();
    }

    /** Returns the sources by name. */
    Map<String, UsageSource> byName() {
        return mSources;
    }

    /** Returns whether each source has reported. */
    boolean allHaveReported() {
        return mSources.values().stream().allMatch(UsageSource::hasReported);
    }

    /** Returns the number of hosts, this one included. */
    int hostCount() {
        return mHostCount;
    }

    /** Counts the hosts again after a report. */
    void countHosts() {
        mHostCount = 1 + mSources.values().stream().mapToInt(UsageSource::hosts).sum();
    }

    /** Returns the tokens admitted by removed sources with these names. */
    long removedUsage(Predicate<String> includes) {
        return mRemovedUsage.entrySet().stream()
                .filter(entry -> includes.test(entry.getKey()))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    private void remove(
            BiPredicate<String, UsageSource> condition, ToLongFunction<UsageSource> usage) {
        mSources.entrySet()
                .removeIf(
                        entry -> {
                            UsageSource source = entry.getValue();
                            boolean removed = condition.test(entry.getKey(), source);
                            if (removed) {
                                mRemovedUsage.merge(
                                        entry.getKey(), usage.applyAsLong(source), Long::sum);
                            }
                            return removed;
                        });
    }
}
