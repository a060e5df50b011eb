package org.vanillaslip.internal.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.speed.ServerSpeeds;
import org.vanillaslip.messages.DemandReport;
import org.vanillaslip.messages.RunningCalls;

/** Sums the gaps between the events of streams by server and model, until they are reported. */
final class EventGapMeter {

    /** A longer gap is an interruption, which says little about the pace of the server. */
    private static final long MAX_GAP_NANOS =
            TimeUnit.MILLISECONDS.toNanos(ServerSpeeds.MAX_GAP_MILLIS);

    private final Map<Source, Sum> mSums = new HashMap<>();

    /** Returns a measurement of one stream; streams without a model are measured together. */
    EventGaps newStream(RequestSlot slot) {
        return new Stream(
                new Source(
                        slot.server().instance(),
                        slot.server().registered().startedAtMillis(),
                        slot.model().map(ModelName::model).orElse("")));
    }

    /** Adds the gaps since the last report to the running calls of a report. */
    void takeGaps(DemandReport.Builder report) {
        mSums.forEach((source, sum) -> addGaps(report, source, sum));
        mSums.clear();
    }

    private static void addGaps(DemandReport.Builder report, Source source, Sum sum) {
        RunningCalls.Builder calls =
                report.getRunningBuilderList().stream()
                        .filter(running -> running.getServer().equals(source.server()))
                        .filter(running -> running.getModel().equals(source.model()))
                        .filter(running -> running.getGaps() == 0)
                        .findFirst()
                        .orElseGet(
                                () ->
                                        report.addRunningBuilder()
                                                .setServer(source.server())
                                                .setModel(source.model()));
        calls.setGaps(sum.mGaps)
                .setGapSumMicros(TimeUnit.NANOSECONDS.toMicros(sum.mNanos))
                .setBornMillis(source.bornMillis());
    }

    private void record(Source source, long gapNanos) {
        Sum sum = mSums.computeIfAbsent(source, name -> new Sum());
        sum.mGaps++;
        sum.mNanos += Math.min(MAX_GAP_NANOS, gapNanos);
    }

    private record Source(String server, long bornMillis, String model) {}

    private static final class Sum {
        private int mGaps;
        private long mNanos;
    }

    private final class Stream implements EventGaps {
        private final Source mSource;
        private OptionalLong mLastEventAt = OptionalLong.empty();

        Stream(Source source) {
            mSource = source;
        }

        @Override
        public void recordEvent(long nowNanos) {
            mLastEventAt.ifPresent(last -> record(mSource, nowNanos - last));
            mLastEventAt = OptionalLong.of(nowNanos);
        }
    }
}
