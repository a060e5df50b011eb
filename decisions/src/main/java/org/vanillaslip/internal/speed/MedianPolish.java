package org.vanillaslip.internal.speed;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Splits logarithms of event gaps into a part of the server and a part of the model. Medians keep
 * one disturbed gap from changing the parts of other servers and models.
 */
final class MedianPolish {

    /** Enough for servers that are only compared over a chain of others. */
    private static final int MAX_SWEEPS = 50;

    private static final double TOLERANCE = 1e-4;

    private MedianPolish() {}

    /**
     * Returns the part of each server. Models go first, so a difference between servers that share
     * no model, directly or over others, is attributed to the models.
     */
    static Map<String, Double> serverParts(Collection<PaceSample> samples) {
        Map<String, Double> servers = new HashMap<>();
        for (int sweep = 0; sweep < MAX_SWEEPS; sweep++) {
            Map<String, Double> known = servers;
            Map<String, Double> models =
                    medians(
                            samples,
                            PaceSample::model,
                            sample -> sample.logGap() - known.getOrDefault(sample.server(), 0.0));
            servers =
                    medians(
                            samples,
                            PaceSample::server,
                            sample -> sample.logGap() - models.getOrDefault(sample.model(), 0.0));
            if (isSame(known, servers)) {
                break;
            }
        }
        return servers;
    }

    private static Map<String, Double> medians(
            Collection<PaceSample> samples,
            Function<PaceSample, String> group,
            Function<PaceSample, Double> value) {
        Map<String, List<Double>> values = new HashMap<>();
        for (PaceSample sample : samples) {
            values.computeIfAbsent(group.apply(sample), name -> new ArrayList<>())
                    .add(value.apply(sample));
        }
        Map<String, Double> medians = new HashMap<>();
        values.forEach((name, ofGroup) -> medians.put(name, median(ofGroup)));
        return medians;
    }

    private static boolean isSame(Map<String, Double> one, Map<String, Double> other) {
        return other.entrySet().stream()
                .allMatch(
                        entry ->
                                Math.abs(entry.getValue() - one.getOrDefault(entry.getKey(), 0.0))
                                        < TOLERANCE);
    }

    /** Returns the median of at least one value; between two middle values, their mean. */
    static double median(Collection<Double> values) {
        double[] sorted = values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        int middle = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    }
}
