package org.vanillaslip.internal.fleet;

import java.time.Duration;
import org.vanillaslip.internal.speed.ServerSpeeds;

/** Speed of a server as the lease holder last reported it. */
final class ReportedSpeed {

    /** Three digests of the lease holder; without them the speed may have changed. */
    private static final long MAX_AGE_NANOS = Duration.ofSeconds(3).toNanos();

    private static final int UNKNOWN = 0;
    private static final int MIN_PERCENT = (int) Math.round(ServerSpeeds.MIN_SPEED * 100);
    private static final int MAX_PERCENT = (int) Math.round(ServerSpeeds.MAX_SPEED * 100);

    private double mSpeed = 1;
    private long mReportedAt = Long.MIN_VALUE / 2;

    /** Records a speed in percent, or 0 if it is unknown; other values are ignored. */
    void record(int percent, long nowNanos) {
        if (percent == UNKNOWN) {
            mSpeed = 1;
        } else if (percent >= MIN_PERCENT && percent <= MAX_PERCENT) {
            mSpeed = percent / 100.0;
            mReportedAt = nowNanos;
        }
    }

    /** Returns the speed, or 1 if it is unknown. */
    double speed(long nowNanos) {
        return nowNanos - mReportedAt < MAX_AGE_NANOS ? mSpeed : 1;
    }
}
