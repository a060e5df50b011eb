package org.vanillaslip.internal.proofs.measures;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.vanillaslip.ModelName;

/**
 * Makes the requests of one day from a seed. Every model has quiet stretches of its own typical
 * length between sessions. A session is a few bursts with pauses for thought, and the requests of a
 * burst enter through all failure domains. A few times a day, many models of one workspace start
 * together.
 */
final class TraceGenerator {

    static final Duration DAY = Duration.ofHours(24);

    // Shares of the workspaces: a few of them are large.
    private static final double[] WORKSPACES = {0.35, 0.6, 0.8, 0.92, 1};
    private static final int OPENINGS = 4;
    private static final double OPENING_SHARE = 0.15;
    private static final double BURST_GAP_SECONDS = 0.4;

    private final DeploymentSize mSize;
    private final Random mRandom;
    private final List<Arrival> mArrivals = new ArrayList<>();

    TraceGenerator(DeploymentSize size, long seed) {
        mSize = size;
        mRandom = new Random(seed);
    }

    List<Arrival> generate() {
        List<List<Integer>> models = new ArrayList<>();
        mSize.workspaces().forEach(workspace -> models.add(new ArrayList<>()));
        for (int model = 0; model < mSize.models(); model++) {
            int workspace = workspace();
            models.get(workspace).add(model);
            sessions(model, workspace);
        }
        for (int workspace = 0; workspace < models.size(); workspace++) {
            for (int i = 0; i < OPENINGS; i++) {
                opening(models.get(workspace), workspace);
            }
        }
        mArrivals.sort(Comparator.comparingLong(Arrival::nanos));
        return List.copyOf(mArrivals);
    }

    private void sessions(int model, int workspace) {
        // Typical quiet stretches from 10 minutes to 8 hours.
        double typical = 600 * Math.exp(mRandom.nextDouble() * Math.log(48));
        double now = mRandom.nextDouble() * typical;
        while (now < DAY.toSeconds()) {
            // Half of the sessions between 20:00 and 08:00 do not take place.
            double hour = now / 3600;
            if (hour >= 8 && hour < 20 || mRandom.nextBoolean()) {
                now = session(model, workspace, now);
            }
            now += typical * Math.exp(0.7 * mRandom.nextGaussian());
        }
    }

    private void opening(List<Integer> models, int workspace) {
        double start = (8 + 12 * mRandom.nextDouble()) * 3600;
        for (int model : models) {
            if (mRandom.nextDouble() < OPENING_SHARE) {
                session(model, workspace, start + 5 * mRandom.nextDouble());
            }
        }
    }

    private double session(int model, int workspace, double start) {
        double now = start;
        int bursts = 1 + mRandom.nextInt(4);
        for (int burst = 0; burst < bursts; burst++) {
            ModelName name = new ModelName("m" + model, adapter(model));
            int requests = 1 + (int) exponential(12);
            for (int i = 0; i < requests; i++) {
                add(name, workspace, now);
                now += exponential(BURST_GAP_SECONDS);
            }
            now += 10 + exponential(60);
        }
        return now;
    }

    private Optional<String> adapter(int model) {
        int first = model % mSize.adapters();
        return mRandom.nextDouble() < 0.6 ? Optional.of("a" + first) : Optional.empty();
    }

    private void add(ModelName name, int workspace, double seconds) {
        if (seconds >= DAY.toSeconds()) {
            return;
        }
        double draw = mRandom.nextDouble();
        int kind = draw < mSize.shares().get(0) ? 0 : draw < 1 - mSize.shares().get(2) ? 1 : 2;
        double service = new double[] {1, 3, 10}[kind] * (0.5 + mRandom.nextDouble());
        mArrivals.add(
                new Arrival(
                        nanos(seconds),
                        mRandom.nextInt(Integer.MAX_VALUE),
                        mSize.workspaces().get(workspace),
                        name,
                        mSize.deadlines().get(kind),
                        Duration.ofNanos(nanos(service))));
    }

    private int workspace() {
        double draw = mRandom.nextDouble();
        int workspace = 0;
        while (draw >= WORKSPACES[workspace]) {
            workspace++;
        }
        return workspace;
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - mRandom.nextDouble());
    }

    private static long nanos(double seconds) {
        return (long) (seconds * 1e9);
    }
}
