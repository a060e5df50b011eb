package org.vanillaslip.internal.scaling;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.DoubleToIntFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillaslip.internal.serving.ServerScaling;

/** Tests the decision on the number of servers in virtual time. */
class ServerCountPlannerTest {

    private static final Map<String, Integer> THREE_EACH = Map.of("a", 3, "b", 3);

    /** Guards against a first order below the servers that are listed later. */
    @Test
    void ordersNothingUntilDemandAndServersAreKnown() {
        ScalingSimulation pool = new ScalingSimulation(limits(1, 8), Map.of("a", 1, "b", 1));
        pool.setCalls(seconds -> 500);
        pool.run(Duration.ofMillis(2750));
        assertThat(pool.steps()).isEmpty();

        pool.setServers("a", 5, 0);
        pool.run(Duration.ofSeconds(1));
        assertThat(pool.steps())
                .extracting(ScalingSimulation.Step::change)
                .contains(new ServerCountChange("a", 5, 8, ServerCountReason.CALLS));
    }

    /** Guards against a replaced server that is listed beside its successor and counts for ever. */
    @Test
    void aServerThatWasListedForAMomentIsNotCountedForEver() {
        ScalingSimulation pool = new ScalingSimulation(limits(1, 8), THREE_EACH);
        pool.setCalls(seconds -> (int) Math.max(70, Math.min(84, 70 + (seconds - 180) / 5)));
        pool.run(Duration.ofSeconds(60));
        pool.setServers("a", 4, 0);
        pool.run(Duration.ofSeconds(5));
        pool.setServers("a", 3, 0);
        pool.run(Duration.ofSeconds(235));

        assertThat(pool.totalReady()).as("servers for 84 calls").isGreaterThanOrEqualTo(7);
    }

    /** Guards against an order below the number in force after servers come back one by one. */
    @Test
    void serversThatAreMissingForAShortTimeOrInALostDomainStayCounted() {
        ScalingSimulation pool = new ScalingSimulation(limits(1, 8), THREE_EACH);
        pool.setCalls(seconds -> 70);
        pool.run(Duration.ofSeconds(60));
        pool.setServers("a", 0, 0);
        pool.setView("a", DomainView.UNHEARD);
        pool.setCalls(seconds -> 30);
        pool.run(Duration.ofMinutes(3));
        pool.setView("a", DomainView.FOLLOWED);
        pool.setServers("a", 1, 1);
        pool.setCalls(seconds -> 70);
        pool.run(Duration.ofSeconds(20));

        assertThat(pool.steps()).isEmpty();
    }

    /** Guards against orders that only repeat what is listed. */
    @Test
    void decidesNothingWhileTheListedServersSuffice() {
        ScalingSimulation pool = new ScalingSimulation(limits(3, 8), THREE_EACH);
        pool.setCalls(seconds -> 20);
        pool.run(Duration.ofMinutes(5));
        assertThat(pool.steps()).isEmpty();
        assertThat(pool.planner().decided()).isEmpty();
    }

    /** Guards against servers that are ready only after the callers have waited. */
    @Test
    void ordersAheadOfDemandThatDoublesInFiveSeconds() {
        ScalingSimulation pool = new ScalingSimulation(limits(2, 20), THREE_EACH);
        pool.setCalls(ramp(60, 60, 120, 5));
        pool.run(Duration.ofSeconds(60));
        assertThat(pool.stepsAfter(10)).isEmpty();

        pool.run(Duration.ofMillis(2500));
        assertThat(pool.totalOrdered()).as("half of the rise has come").isGreaterThanOrEqualTo(9);
        pool.run(Duration.ofMillis(10_500));
        assertThat(pool.totalReady()).as("servers 8 s after the rise").isGreaterThanOrEqualTo(10);
        pool.run(Duration.ofMinutes(10));
        assertThat(directionChanges(pool.steps())).isLessThanOrEqualTo(1);
        assertThat(pool.totalOrdered()).isBetween(10, 13);
    }

    /** Guards against servers that are given back in one step, or too early. */
    @Test
    void givesBackSlowlyWhenDemandFalls() {
        ScalingSimulation pool = new ScalingSimulation(limits(1, 20), Map.of("a", 6, "b", 6));
        pool.setCalls(ramp(120, 100, 20, 10));
        pool.run(Duration.ofSeconds(105));
        assertThat(pool.stepsAfter(10)).isEmpty();
        pool.run(Duration.ofSeconds(35));
        assertThat(pool.stepsAfter(100)).as("changes within the hold time").isEmpty();
        pool.run(Duration.ofMinutes(10));

        List<ScalingSimulation.Step> steps = pool.stepsAfter(100);
        assertThat(steps).isNotEmpty().allMatch(step -> delta(step) == -1);
        for (int index = 1; index < steps.size(); index++) {
            assertThat(steps.get(index).atSeconds() - steps.get(index - 1).atSeconds())
                    .isGreaterThanOrEqualTo(10);
        }
        assertThat(pool.totalOrdered()).isBetween(2, 4);
        assertThat(Math.abs(pool.ordered("a") - pool.ordered("b"))).isLessThanOrEqualTo(1);
    }

    /** Guards against a number that goes up and down with waves of demand. */
    @ParameterizedTest
    @CsvSource({"11, 0.5", "11, 0.9", "13, 0.7", "15, 0.5", "15, 0.9", "17, 0.5", "17, 0.9"})
    void staysAtThePeakOfWaves(double periodSeconds, double amplitude) {
        ScalingSimulation pool = new ScalingSimulation(limits(2, 28), THREE_EACH);
        SplittableRandom random = new SplittableRandom(7);
        pool.setCalls(
                seconds -> {
                    double wave = Math.sin(2 * Math.PI * seconds / periodSeconds);
                    double noise = random.nextDouble(-1, 1) * 8;
                    return (int) Math.max(0, 100 * (1 + amplitude * wave) + noise);
                });
        pool.run(Duration.ofMinutes(20));

        assertThat(directionChanges(pool.steps())).isLessThanOrEqualTo(1);
        double peak = 100 * (1 + amplitude);
        assertThat(pool.totalOrdered())
                .isGreaterThanOrEqualTo(
                        (int) CallCapacity.servers(peak * 0.9, ScalingSimulation.SLOTS));
    }

    /** Guards against a number that follows waves longer than the hold time, each time anew. */
    @Test
    void givesBackMoreRarelyWhenServersAreNeededAgainSoonAfterwards() {
        ScalingSimulation pool = new ScalingSimulation(limits(2, 20), THREE_EACH);
        pool.setCalls(seconds -> seconds % 120 < 60 ? 100 : 50);
        pool.run(Duration.ofMinutes(40));

        long waves =
                pool.steps().stream()
                        .filter(step -> step.change().after() < step.change().before())
                        .mapToLong(step -> (long) (step.atSeconds() - 30) / 120)
                        .distinct()
                        .count();
        assertThat(waves).as("waves of 20 in which servers are given back").isBetween(1L, 5L);
    }

    /** Guards against a pause that doubles with each order of one shortage. */
    @Test
    void aShortageThatIsMetInSeveralStepsLengthensThePauseOnce() {
        ScalingSimulation pool = new ScalingSimulation(limits(2, 20), THREE_EACH);
        pool.setCalls(
                seconds ->
                        seconds < 120 || seconds > 150
                                ? 40
                                : (int) Math.min(100, 40 + 10 * (seconds - 120)));
        pool.run(Duration.ofSeconds(150));
        assertThat(pool.stepsAfter(120)).hasSizeGreaterThan(3);
        pool.run(Duration.ofMinutes(3));
        assertThat(pool.steps().get(pool.steps().size() - 1).change().reason())
                .as("step back after a pause of 2 min")
                .isEqualTo(ServerCountReason.SURPLUS);
    }

    /** Guards against noise that orders and gives back in turn. */
    @Test
    void staysConstantUnderRandomDemand() {
        ScalingSimulation pool = new ScalingSimulation(limits(1, 28), THREE_EACH);
        SplittableRandom random = new SplittableRandom(11);
        pool.setCalls(seconds -> 60 + random.nextInt(-15, 16));
        pool.run(Duration.ofMinutes(30));
        assertThat(directionChanges(pool.steps())).isLessThanOrEqualTo(1);
    }

    /** Guards against a partition that is taken for an idle failure domain. */
    @Test
    void aFailureDomainThatIsNotHeardFromKeepsItsNumber() {
        ScalingSimulation pool = new ScalingSimulation(limits(1, 20), THREE_EACH);
        pool.setCalls(seconds -> seconds < 60 ? 60 : 5);
        pool.run(Duration.ofSeconds(60));
        int before = pool.ordered("b");
        int steps = pool.steps().size();
        pool.setView("b", DomainView.UNHEARD);
        pool.run(Duration.ofMinutes(10));
        assertThat(pool.steps()).hasSize(steps);
        assertThat(pool.ordered("b")).isEqualTo(before);
    }

    /** Guards against callers of a lost failure domain that find too few servers elsewhere. */
    @Test
    void aLostFailureDomainIsReplacedByOthersAndComesBackColdWithItsNumber() {
        ScalingSimulation pool = new ScalingSimulation(limits(1, 20), THREE_EACH);
        pool.setCalls(seconds -> 60);
        pool.run(Duration.ofSeconds(60));
        pool.setServers("b", 0, 0);
        pool.setView("b", DomainView.UNHEARD);
        pool.run(Duration.ofSeconds(30));
        assertThat(pool.ordered("a")).isEqualTo(5);
        assertThat(pool.ordered("b")).isEqualTo(3);

        pool.setServers("b", 3, 3);
        pool.setView("b", DomainView.FOLLOWED);
        pool.run(Duration.ofSeconds(42));
        assertThat(pool.ordered("b")).isEqualTo(3);
        assertThat(pool.stepsAfter(90)).as("changes within the hold time").isEmpty();
    }

    /** Guards against a number that stays short until a reclaimed server is gone. */
    @Test
    void aServerThatLeavesAtShortNoticeIsReplacedAtOnce() {
        ScalingSimulation pool = new ScalingSimulation(limits(1, 4), THREE_EACH);
        pool.setCalls(seconds -> 72);
        pool.run(Duration.ofSeconds(60));
        assertThat(pool.steps()).isEmpty();

        pool.announceLeaving("a", "a-1@1");
        pool.run(Duration.ofMillis(250));
        assertThat(pool.steps()).hasSize(1);
        assertThat(pool.steps().get(0).change())
                .isEqualTo(new ServerCountChange("a", 3, 4, ServerCountReason.LEAVING));
        pool.announceLeaving("a", "a-2@1");
        pool.announceLeaving("b", "b-1@1");
        pool.announceLeaving("b", "b-2@1");
        pool.run(Duration.ofSeconds(1));
        assertThat(pool.ordered("a")).as("limit").isEqualTo(4);
        assertThat(pool.ordered("b")).as("limit").isEqualTo(4);
    }

    /** Guards against a server that is given back and replaced, in turn. */
    @Test
    void aServerThatWasGivenBackIsNotReplacedWhileItLeaves() {
        ScalingSimulation pool = new ScalingSimulation(limits(1, 20), Map.of("a", 6, "b", 6));
        pool.setGiveBackShowsAsLeaving();
        pool.setCalls(seconds -> 90);
        pool.run(Duration.ofMinutes(5));
        assertThat(pool.steps()).isNotEmpty().allMatch(step -> delta(step) == -1);
        assertThat(pool.totalOrdered()).isEqualTo(9);
    }

    /** Guards against callers of rarely used models that displace each other's models. */
    @Test
    void ordersEnginesForTheModelsThatCallersAskFor() {
        ScalingSimulation pool = new ScalingSimulation(limits(1, 20), THREE_EACH);
        pool.setCalls(seconds -> 4);
        pool.setModelEngines(9.4);
        pool.run(Duration.ofSeconds(10));
        assertThat(pool.totalOrdered()).isEqualTo(10);
        assertThat(pool.steps())
                .allMatch(step -> step.change().reason() == ServerCountReason.MODELS);
    }

    /** Guards against servers for rarely used models that are ordered when their callers wait. */
    @Test
    void ordersEnginesForAllConfiguredModelsBeforeTheFirstCalls() {
        ScalingSimulation pool = new ScalingSimulation(limits(1, 20), THREE_EACH);
        pool.setConfiguredEngines(11.5);
        pool.run(Duration.ofMillis(3250));
        assertThat(pool.totalOrdered()).isEqualTo(12);
        assertThat(pool.steps())
                .allMatch(step -> step.change().reason() == ServerCountReason.CONFIGURED_MODELS);
    }

    /** Guards against servers that stay although callers ask for few of the models. */
    @Test
    void givesBackSlowlyWhatTheObservedModelsDoNotNeed() {
        ScalingSimulation pool = new ScalingSimulation(limits(1, 20), THREE_EACH);
        pool.setConfiguredEngines(11.5);
        pool.setModelEngines(4);
        pool.run(Duration.ofSeconds(100));
        assertThat(pool.totalOrdered())
                .as("within the first demand and the hold time")
                .isEqualTo(12);
        pool.run(Duration.ofMinutes(10));
        assertThat(pool.totalOrdered()).isBetween(4, 5);
        assertThat(directionChanges(pool.steps())).isLessThanOrEqualTo(1);
    }

    /** Guards against a new holder that orders servers for all models once more. */
    @Test
    void aNewHolderWithRecordedNumbersExpectsNoUnobservedModels() {
        ScalingSimulation pool = new ScalingSimulation(limits(1, 20), THREE_EACH);
        pool.planner().restore("a", 4);
        pool.setConfiguredEngines(11.5);
        pool.run(Duration.ofSeconds(42));
        assertThat(pool.steps()).isEmpty();
    }

    /** Guards against a new holder that orders a number from its short view of the demand. */
    @Test
    void aNewHolderContinuesFromTheRecordedNumber() {
        ScalingSimulation pool = new ScalingSimulation(limits(1, 20), THREE_EACH);
        pool.planner().restore("a", 7);
        pool.planner().restore("b", 6);
        pool.setCalls(seconds -> 10);
        pool.run(Duration.ofSeconds(42));
        assertThat(pool.steps()).isEmpty();
        assertThat(pool.planner().decided()).isEqualTo(Map.of("a", 7, "b", 6));
    }

    /** Guards against numbers outside the limits of the configuration. */
    @Test
    void staysWithinTheLimits() {
        ScalingSimulation pool = new ScalingSimulation(limits(3, 5), THREE_EACH);
        pool.setCalls(seconds -> seconds < 60 ? 1000 : 0);
        pool.run(Duration.ofSeconds(60));
        assertThat(pool.totalOrdered()).isEqualTo(10);
        pool.run(Duration.ofMinutes(10));
        assertThat(pool.totalOrdered()).isEqualTo(6);
    }

    /** Guards against a minimum that is taken for servers although the platform has fewer. */
    @Test
    void ordersAtLeastTheMinimumWhenFewerServersAreListed() {
        ScalingSimulation pool = new ScalingSimulation(limits(4, 8), Map.of("a", 1, "b", 1));
        pool.setCalls(seconds -> 40);
        pool.run(Duration.ofSeconds(4));
        assertThat(pool.planner().decided()).isEqualTo(Map.of("a", 4));
    }

    private static ServerScaling limits(int min, int max) {
        return ScalingSimulation.limits(min, max);
    }

    private static int delta(ScalingSimulation.Step step) {
        return step.change().after() - step.change().before();
    }

    /** Returns how often the number rises after it fell, or falls after it rose. */
    private static long directionChanges(List<ScalingSimulation.Step> steps) {
        long changes = 0;
        for (int index = 1; index < steps.size(); index++) {
            if (delta(steps.get(index)) > 0 != delta(steps.get(index - 1)) > 0) {
                changes++;
            }
        }
        return changes;
    }

    /** Returns a demand that changes linearly within some seconds. */
    private static DoubleToIntFunction ramp(
            int steady, double startSeconds, int after, double seconds) {
        return now -> {
            if (now < startSeconds) {
                return steady;
            }
            double part = Math.min(1, (now - startSeconds) / seconds);
            return (int) Math.round(steady + (after - steady) * part);
        };
    }
}
