package org.vanillaslip.internal.speed;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Event gaps and speed of one start of a server. */
final class ServerPace {

    /** Servers that differ by less rank as equal, so that equal servers are not told apart. */
    private static final double MIN_SLOW = 0.9;

    private static final double MIN_FAST = 1.11;

    /** More calls make gaps longer, so a faster change of the speed could oscillate. */
    private static final double MAX_CHANGE_PER_SECOND = 1.2;

    /** With fewer gaps, the jitter of single events would pass for a speed. */
    private static final int MIN_GAPS = 20;

    /** With fewer gaps of one model, their mean says little. */
    private static final int MIN_MODEL_GAPS = 5;

    /** Shorter gaps show that something on the way collects events, not the pace of the server. */
    private static final double MIN_GAP_MILLIS = 0.5;

    /** Without recent gaps, the state of the server is unknown. */
    private static final long MAX_AGE_NANOS = Duration.ofSeconds(15).toNanos();

    private static final long MIN_EVENT_INTERVAL_NANOS = Duration.ofSeconds(10).toNanos();

    private final MeasuredServer mServer;
    private final Map<String, GapSum> mSums = new HashMap<>();
    private double mSpeed = 1;
    private long mUpdatedAt;
    private SpeedBand mReportedBand = SpeedBand.USUAL;
    private long mBandReportedAt = Long.MIN_VALUE / 2;

    ServerPace(MeasuredServer server, long nowNanos) {
        mServer = server;
        mUpdatedAt = nowNanos;
    }

    MeasuredServer server() {
        return mServer;
    }

    void record(String model, long gaps, double sumMillis, long nowNanos) {
        mSums.computeIfAbsent(model, name -> new GapSum(nowNanos)).add(gaps, sumMillis, nowNanos);
    }

    /** Removes models without recent gaps and returns whether none remains. */
    boolean expire(long nowNanos) {
        mSums.values().removeIf(sum -> nowNanos - sum.lastGapAt() > MAX_AGE_NANOS);
        mSums.values().forEach(sum -> sum.decay(nowNanos));
        return mSums.isEmpty();
    }

    /** Returns one sample for each model, or none if there are too few gaps. */
    List<PaceSample> samples() {
        if (mSums.values().stream().mapToDouble(GapSum::count).sum() < MIN_GAPS) {
            return List.of();
        }
        return mSums.entrySet().stream()
                .filter(entry -> entry.getValue().count() >= MIN_MODEL_GAPS)
                .filter(entry -> entry.getValue().meanMillis() >= MIN_GAP_MILLIS)
                .map(
                        entry ->
                                new PaceSample(
                                        mServer.instance(),
                                        entry.getKey(),
                                        Math.log(entry.getValue().meanMillis())))
                .toList();
    }

    /** Moves the speed towards the measured one. */
    void approach(double measured, long nowNanos) {
        double seconds = Math.max(0, nowNanos - mUpdatedAt) / 1e9;
        double change = Math.pow(MAX_CHANGE_PER_SECOND, seconds);
        mSpeed = Math.max(mSpeed / change, Math.min(mSpeed * change, measured));
        mUpdatedAt = nowNanos;
    }

    /** Returns the speed in whole percents, as digests carry it. */
    double speed() {
        return mSpeed > MIN_SLOW && mSpeed < MIN_FAST ? 1 : Math.round(mSpeed * 100) / 100.0;
    }

    /** Returns a change of the class of the server, at most once in 10 s. */
    Optional<SpeedChange> takeChange(long nowNanos) {
        SpeedBand band = SpeedBand.of(speed());
        if (band == mReportedBand || nowNanos - mBandReportedAt < MIN_EVENT_INTERVAL_NANOS) {
            return Optional.empty();
        }
        SpeedChange change = new SpeedChange(mServer, mReportedBand, band, speed());
        mReportedBand = band;
        mBandReportedAt = nowNanos;
        return Optional.of(change);
    }
}
