package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillaslip.messages.LoadForecast;

/**
 * Forecasts of the lease holder that hosts have not received yet. A host only gets forecasts for
 * models that its callers wait for, once for each of its reports unless the forecast changes.
 */
final class ForecastOutbox {

    /** A smaller difference changes no decision: hosts check their waiting calls every 25 ms. */
    private static final long MIN_CHANGE_NANOS = Duration.ofMillis(100).toNanos();

    private final Map<String, Map<CallTarget, Sent>> mSentByHost = new HashMap<>();
    private final Map<String, List<LoadForecast>> mUnsentByHost = new HashMap<>();

    /**
     * Adds a forecast for a host, unless the host has received an equal one since its last report.
     *
     * @param reportedAtNanos time of the host's last report
     * @param expected expected wait; empty if no load is planned
     */
    void add(
            String host,
            long reportedAtNanos,
            CallTarget target,
            Optional<Duration> expected,
            long nowNanos) {
        Sent forecast =
                new Sent(
                        nowNanos,
                        expected.isEmpty(),
                        nowNanos + expected.map(Duration::toNanos).orElse(0L));
        Map<CallTarget, Sent> sent = mSentByHost.computeIfAbsent(host, name -> new HashMap<>());
        Sent previous = sent.get(target);
        if (previous != null
                && previous.sentNanos() - reportedAtNanos >= 0
                && !forecast.differsFrom(previous)) {
            return;
        }
        sent.put(target, forecast);
        mUnsentByHost
                .computeIfAbsent(host, name -> new ArrayList<>())
                .add(toMessage(target, expected));
    }

    /** Returns the unsent forecasts by host; they count as sent from then on. */
    Map<String, List<LoadForecast>> takeUnsent() {
        Map<String, List<LoadForecast>> unsent = Map.copyOf(mUnsentByHost);
        mUnsentByHost.clear();
        return unsent;
    }

    /**
     * Forgets forecasts that were sent before the given time, as nobody waits for them any more.
     */
    void removeSentBefore(long timeNanos) {
        mSentByHost
                .values()
                .forEach(
                        sent ->
                                sent.values()
                                        .removeIf(
                                                forecast -> forecast.sentNanos() - timeNanos < 0));
        mSentByHost.values().removeIf(Map::isEmpty);
    }

    void clear() {
        mSentByHost.clear();
        mUnsentByHost.clear();
    }

    private static LoadForecast toMessage(CallTarget target, Optional<Duration> expected) {
        LoadForecast.Builder forecast =
                LoadForecast.newBuilder()
                        .setPool(target.pool())
                        .setUnplanned(expected.isEmpty())
                        .setExpectedMillis(
                                (int) expected.map(Duration::toMillis).orElse(0L).longValue());
        target.model()
                .ifPresent(
                        model -> {
                            forecast.setModel(model.model());
                            model.adapter().ifPresent(forecast::setAdapter);
                        });
        return forecast.build();
    }

    /** A forecast as sent; {@code readyNanos} is the time at which the model is expected. */
    private record Sent(long sentNanos, boolean unplanned, long readyNanos) {

        boolean differsFrom(Sent other) {
            return unplanned != other.unplanned
                    || !unplanned && Math.abs(readyNanos - other.readyNanos) >= MIN_CHANGE_NANOS;
        }
    }
}
