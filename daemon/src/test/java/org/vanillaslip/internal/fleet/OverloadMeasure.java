package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** Overload with three kinds of calls and five workspaces, one of them at six times its share. */
final class OverloadMeasure {

    static final OverloadKind LIVE =
            new OverloadKind("live", 0, Duration.ofMillis(500), Duration.ofMillis(2400), 1, 0.45);
    static final OverloadKind PATIENT =
            new OverloadKind("patient", 1, Duration.ofSeconds(6), Duration.ofSeconds(25), 3, 0.2);
    static final OverloadKind BATCH =
            new OverloadKind("batch", 2, Duration.ofSeconds(10), Duration.ofSeconds(30), 0.5, 0.35);
    static final List<OverloadKind> KINDS = List.of(LIVE, PATIENT, BATCH);
    static final int SERVERS = 6;
    static final int MODELS = 12;
    static final int MEAN_EVENTS = 36;
    static final Duration LENGTH = Duration.ofSeconds(60);

    /** Prints the tables of docs/measures/overload.md; runs only if it is named. */
    @Test
    void printTables() {
        long seed = Long.getLong("seed", 1);
        for (double load : new double[] {0.8, 1.5, 3}) {
            System.out.printf(Locale.ROOT, "%nLoad %.1f, seed %d%n%n", load, seed);
            System.out.println(
                    "| order | calls | number | in time | late | not served | refusals for each"
                            + " call | value | of possible |");
            System.out.println("|---|---|---|---|---|---|---|---|---|");
            for (OverloadSimulation.Order order : OverloadSimulation.Order.values()) {
                OverloadSimulation simulation = run(order, load, seed);
                groups().forEach(group -> print(order, group, simulation.mCalls));
                System.out.printf(
                        "| %s | refusals %s, of those repeated %d | | | | | | | |%n",
                        name(order), simulation.mRefusals, simulation.mRetries);
            }
        }
    }

    record Group(String name, Predicate<OverloadCall> condition) {}

    static List<Group> groups() {
        List<Group> groups = new ArrayList<>();
        groups.add(new Group("all", call -> true));
        for (OverloadKind kind : KINDS) {
            groups.add(new Group(kind.mName, call -> call.mKind == kind));
        }
        groups.add(new Group("workspaces at their share", call -> !call.mWorkspace.equals("w5")));
        groups.add(new Group("workspace at 6 times", call -> call.mWorkspace.equals("w5")));
        groups.add(new Group("over 90 events", call -> call.mEvents > 90));
        groups.add(new Group("rarest third of models", call -> modelNumber(call) >= 8));
        return groups;
    }

    private static int modelNumber(OverloadCall call) {
        return Integer.parseInt(call.mModel.substring(1));
    }

    private static String name(OverloadSimulation.Order order) {
        return order.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private static void print(
            OverloadSimulation.Order order, Group group, List<OverloadCall> calls) {
        List<OverloadCall> ofGroup = calls.stream().filter(group.condition()).toList();
        long late = ofGroup.stream().filter(OverloadCall::late).count();
        long served = ofGroup.stream().filter(OverloadCall::served).count();
        double value = ofGroup.stream().mapToDouble(OverloadCall::value).sum();
        double possible = ofGroup.stream().mapToDouble(call -> call.mKind.mValue).sum();
        double refusals =
                ofGroup.stream().mapToInt(call -> call.mRefusals).sum()
                        / (double) Math.max(1, ofGroup.size());
        System.out.printf(
                Locale.ROOT,
                "| %s | %s | %d | %d | %d | %d | %.2f | %.0f | %.3f |%n",
                name(order),
                group.name(),
                ofGroup.size(),
                served - late,
                late,
                ofGroup.size() - served,
                refusals,
                value,
                value / possible);
    }

    /** Runs one order at a multiple of the capacity. */
    static OverloadSimulation run(OverloadSimulation.Order order, double load, long seed) {
        OverloadSimulation simulation = new OverloadSimulation(order, 400, KINDS);
        List<Set<String>> models = new ArrayList<>();
        for (int server = 0; server < SERVERS; server++) {
            models.add(new TreeSet<>());
        }
        for (int model = 0; model < MODELS; model++) {
            models.get(model % SERVERS).add("m" + model);
            models.get((model + 1 + model / SERVERS) % SERVERS).add("m" + model);
            models.get((model + 3) % SERVERS).add("m" + model);
        }
        for (int server = 0; server < SERVERS; server++) {
            simulation.addServer("s" + server, models.get(server));
        }
        simulation.list();
        Random random = new Random(seed);
        double serviceSeconds =
                (OverloadSimulation.FIRST_EVENT_NANOS + MEAN_EVENTS * OverloadSimulation.GAP_NANOS)
                        / 1e9;
        double rate = load * SERVERS * OverloadSimulation.SLOTS / serviceSeconds;
        double time = 0;
        while (true) {
            time += -Math.log(1 - random.nextDouble()) / rate;
            if (time >= LENGTH.toSeconds()) {
                break;
            }
            simulation.arrive(
                    Duration.ofNanos((long) (time * 1e9)),
                    kind(random),
                    workspace(random),
                    model(random),
                    events(random));
        }
        simulation.mScheduler.advanceTimeBy(LENGTH.plusSeconds(40));
        return simulation;
    }

    private static OverloadKind kind(Random random) {
        double part = random.nextDouble();
        for (OverloadKind kind : KINDS) {
            part -= kind.mPart;
            if (part < 0) {
                return kind;
            }
        }
        return BATCH;
    }

    /** Of ten shares, four workspaces have one each and the fifth has six. */
    private static String workspace(Random random) {
        return "w" + Math.min(5, 1 + random.nextInt(10));
    }

    /** A few models get most calls. */
    private static String model(Random random) {
        return "m" + (int) (MODELS * Math.pow(random.nextDouble(), 2));
    }

    /** Sizes spread over more than an order of magnitude, with the mean above. */
    private static int events(Random random) {
        double sigma = 0.8;
        double events = MEAN_EVENTS * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
        return (int) Math.max(2, Math.min(400, events));
    }
}
