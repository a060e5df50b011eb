package org.vanillaslip.internal.duty;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.vanillaslip.internal.platform.PlatformCollections;
import org.vanillaslip.internal.serving.ServerScaling;

/** Tests who orders servers, and what happens to an order that fails halfway. */
class ServerCountControllerTest {

    private static final Map<String, Integer> SERVERS = Map.of("a", 3, "b", 3);

    private final ScalingWorld mWorld = world(Optional.of(ScalingWorld.limits(1, 20)));
    private final ScalingPlatform mPlatform = mWorld.mPlatform;

    private static ScalingWorld world(Optional<ServerScaling> limits) {
        return new ScalingWorld(limits, SERVERS);
    }

    /** Guards against calls and prices on deployments that do not ask for the duty. */
    @Test
    void nothingIsReadOrSentForPoolsWithoutLimits() {
        ScalingWorld world = world(Optional.empty());
        world.setCalls(seconds -> 500);
        world.run(Duration.ofMinutes(2));
        assertThat(world.mPlatform.attempts()).isZero();
        assertThat(world.mStore.countCalls()).isZero();
    }

    /** Guards against calls on a quiet day. */
    @Test
    void nothingIsSentWhileTheServersSuffice() {
        mWorld.setCalls(seconds -> 60);
        mWorld.run(Duration.ofMinutes(2));
        assertThat(mPlatform.attempts()).isZero();
        assertThat(mWorld.mStore.countWrites()).isEmpty();
    }

    /** Guards against a number that a new holder cannot know. */
    @Test
    void aNumberIsRecordedBeforeItIsSent() {
        growAfterAMinute();
        mPlatform.setTreatment(ScalingPlatform.Treatment.UNREACHED);
        mWorld.run(Duration.ofSeconds(70));
        assertThat(mPlatform.calls()).isEmpty();
        assertThat(mWorld.mStore.countWrites()).isNotEmpty();
        mPlatform.setTreatment(ScalingPlatform.Treatment.ACCEPTED);
        mWorld.run(Duration.ofSeconds(20));
        assertThat(mPlatform.ordered("a") + mPlatform.ordered("b")).isGreaterThanOrEqualTo(13);
        assertRulesKept();
    }

    /** Guards against a holder that sends a number which the store may not have. */
    @Test
    void nothingIsSentWhileTheRecordCannotBeWritten() {
        growAfterAMinute();
        mWorld.mHosts.values().forEach(host -> host.mAccess.setRefusesCountWrites(true));
        mWorld.run(Duration.ofSeconds(80));
        assertThat(mWorld.mStore.countCalls()).isGreaterThan(5);
        assertThat(mPlatform.attempts()).isZero();
        mWorld.mHosts.values().forEach(host -> host.mAccess.setRefusesCountWrites(false));
        mWorld.run(Duration.ofSeconds(20));
        assertThat(mPlatform.ordered("a") + mPlatform.ordered("b")).isGreaterThanOrEqualTo(13);
        assertRulesKept();
    }

    /** Guards against an order that is lost with the answer of the store. */
    @Test
    void aWriteOfUnknownOutcomeIsReadAgain() {
        growAfterAMinute();
        mWorld.mHosts.values().forEach(host -> host.mAccess.setLosesWriteAnswers(true));
        mWorld.run(Duration.ofSeconds(80));
        assertThat(mPlatform.ordered("a") + mPlatform.ordered("b")).isGreaterThanOrEqualTo(13);
        assertRulesKept();
    }

    /** Guards against a shortage that stays because its order died with the holder. */
    @Test
    void theNextHolderSendsWhatWasRecordedAndNotSent() {
        growAfterAMinute();
        mPlatform.setTreatment(ScalingPlatform.Treatment.UNREACHED);
        mWorld.run(Duration.ofSeconds(70));
        ScalingWorld.TestHost first = mWorld.holder().orElseThrow();
        first.mRunning = false;
        mPlatform.setTreatment(ScalingPlatform.Treatment.ACCEPTED);
        mWorld.setCalls(seconds -> 0);
        mWorld.run(Duration.ofSeconds(15));
        assertThat(mPlatform.calls()).isNotEmpty();
        assertThat(mPlatform.calls()).noneMatch(call -> call.holder().equals(first.mName));
        assertThat(mPlatform.ordered("a") + mPlatform.ordered("b")).isGreaterThanOrEqualTo(13);
        assertRulesKept();
    }

    /** Guards against a new holder that orders another number after each takeover. */
    @Test
    void takeoversDoNotChangeTheNumbers() {
        growAfterAMinute();
        mWorld.run(Duration.ofSeconds(100));
        int ordered = mPlatform.ordered("a") + mPlatform.ordered("b");
        for (int takeover = 0; takeover < 3; takeover++) {
            ScalingWorld.TestHost holder = mWorld.holder().orElseThrow();
            holder.mRunning = false;
            mWorld.run(Duration.ofSeconds(15));
            holder.restart();
            mWorld.run(Duration.ofSeconds(5));
            assertThat(mPlatform.ordered("a") + mPlatform.ordered("b")).isEqualTo(ordered);
        }
        assertRulesKept();
    }

    /** Guards against an order of a holder that was suspended past its lease. */
    @Test
    void aHolderThatWasSuspendedSendsNothingAfterwards() {
        growAfterAMinute();
        mPlatform.setTreatment(ScalingPlatform.Treatment.UNREACHED);
        mWorld.run(Duration.ofSeconds(70));
        ScalingWorld.TestHost first = mWorld.holder().orElseThrow();
        first.mRunning = false;
        mPlatform.setTreatment(ScalingPlatform.Treatment.ACCEPTED);
        mWorld.run(Duration.ofSeconds(10));
        first.mRunning = true;
        mWorld.run(Duration.ofSeconds(10));
        assertThat(mPlatform.calls()).isNotEmpty();
        assertThat(mPlatform.calls()).noneMatch(call -> call.holder().equals(first.mName));
        assertRulesKept();
    }

    /** Guards against an order whose sender was suspended after it had recorded the number. */
    @Test
    void aHolderThatWasSuspendedBetweenRecordAndSendSendsNothing() {
        growAfterAMinute();
        mWorld.run(Duration.ofSeconds(60));
        while (mWorld.mStore.countWrites().isEmpty()) {
            mWorld.run(Duration.ofMillis(10));
        }
        ScalingWorld.TestHost first = mWorld.holder().orElseThrow();
        first.mRunning = false;
        mWorld.run(Duration.ofSeconds(12));
        long resumedAtMillis = mWorld.millis();
        first.mRunning = true;
        mWorld.run(Duration.ofSeconds(10));
        assertThat(mPlatform.calls()).anyMatch(call -> !call.holder().equals(first.mName));
        assertThat(mPlatform.calls())
                .filteredOn(call -> call.atMillis() >= resumedAtMillis)
                .noneMatch(call -> call.holder().equals(first.mName));
        assertRulesKept();
    }

    /** Guards against a number that is lost or sent with a lower token after a takeover. */
    @Test
    void aTakeoverDuringASendWithoutAnswerKeepsTheNumber() {
        growAfterAMinute();
        mPlatform.setTreatment(ScalingPlatform.Treatment.ANSWER_LOST);
        mWorld.run(Duration.ofSeconds(60));
        while (mPlatform.calls().isEmpty()) {
            mWorld.run(Duration.ofMillis(10));
        }
        mWorld.holder().orElseThrow().mRunning = false;
        mWorld.run(Duration.ofSeconds(60));
        assertThat(mPlatform.ordered("a") + mPlatform.ordered("b")).isGreaterThanOrEqualTo(13);
        assertRulesKept();
    }

    /** Guards against a host that orders although a later holder has recorded numbers. */
    @Test
    void nothingIsSentAfterALaterHolderHasRecordedNumbers() {
        ObjectNode later = JsonNodeFactory.instance.objectNode();
        later.putArray("counts")
                .addObject()
                .put("pool", ScalingPlatform.POOL)
                .put("failure_domain", "a")
                .put("servers", 5)
                .put("term", Long.MAX_VALUE);
        mWorld.mHosts
                .get("a0")
                .mAccess
                .create(PlatformCollections.SERVER_COUNTS, "fleet", later)
                .subscribe();
        growAfterAMinute();
        mWorld.run(Duration.ofSeconds(80));

        assertThat(mWorld.mStore.countCalls()).isGreaterThan(10);
        assertThat(mWorld.mStore.countWrites()).containsExactly(later);
        assertThat(mPlatform.attempts()).isZero();
    }

    /** Guards against two hosts that both order while one has lost the store. */
    @Test
    void aHolderWithoutTheStoreStopsBeforeTheNextOneStarts() {
        growAfterAMinute();
        mWorld.run(Duration.ofSeconds(61));
        ScalingWorld.TestHost first = mWorld.holder().orElseThrow();
        first.mAccess.setCutOff(true);
        mWorld.run(Duration.ofSeconds(40));
        assertThat(mWorld.holder().orElseThrow()).isNotSameAs(first);
        assertThat(mPlatform.ordered("a") + mPlatform.ordered("b")).isGreaterThanOrEqualTo(13);
        assertRulesKept();
    }

    /** Guards against numbers that are lost, or repeated without pause, while the API fails. */
    @ParameterizedTest
    @EnumSource(
            value = ScalingPlatform.Treatment.class,
            names = {"THROTTLED", "UNREACHED", "ANSWER_LOST"})
    void aNumberIsRepeatedWithGrowingPausesUntilItIsAccepted(ScalingPlatform.Treatment treatment) {
        growAfterAMinute();
        mPlatform.setTreatment(treatment);
        mWorld.run(Duration.ofSeconds(60));
        int before = mPlatform.attempts();
        mWorld.run(Duration.ofSeconds(60));
        assertThat(mPlatform.attempts() - before).isBetween(4, 14);
        mPlatform.setTreatment(ScalingPlatform.Treatment.ACCEPTED);
        mWorld.run(Duration.ofSeconds(20));
        assertThat(mPlatform.ordered("a") + mPlatform.ordered("b")).isGreaterThanOrEqualTo(13);
        assertRulesKept();
    }

    /** Guards against a rejected number that is sent again and again. */
    @Test
    void aRejectedNumberIsRepeatedAtALowRate() {
        growAfterAMinute();
        mPlatform.setTreatment(ScalingPlatform.Treatment.REJECTED);
        mWorld.run(Duration.ofSeconds(160));
        assertThat(mPlatform.attempts()).isBetween(2, 24);
    }

    /** Guards against a partition that is taken for an idle failure domain. */
    @Test
    void aFailureDomainWhoseHostsAreNotHeardKeepsItsNumber() {
        mWorld.setCalls(seconds -> seconds < 60 ? 60 : 10);
        mWorld.run(Duration.ofSeconds(60));
        String own = mWorld.holder().orElseThrow().mListed.failureDomain().name();
        mWorld.mHosts.values().stream()
                .filter(host -> !host.mListed.failureDomain().name().equals(own))
                .forEach(host -> host.mHeard = false);
        mWorld.run(Duration.ofMinutes(3));
        assertThat(mPlatform.attempts()).isZero();
    }

    /** Guards against numbers of a restored store that are lower than those in force. */
    @Test
    void aRestoredStoreDoesNotLowerTheNumbers() {
        mWorld.setCalls(seconds -> seconds < 60 ? 60 : seconds < 100 ? 110 : 200);
        mWorld.run(Duration.ofSeconds(90));
        mWorld.mStore.copy();
        mWorld.run(Duration.ofSeconds(60));
        Map<String, Integer> before =
                Map.of("a", mPlatform.ordered("a"), "b", mPlatform.ordered("b"));
        mWorld.mStore.restore();
        mWorld.mHosts.values().forEach(host -> host.mRunning = false);
        mWorld.mHosts.values().forEach(ScalingWorld.TestHost::restart);
        mWorld.run(Duration.ofSeconds(30));
        assertThat(mPlatform.ordered("a")).isGreaterThanOrEqualTo(before.getOrDefault("a", 0));
        assertThat(mPlatform.ordered("b")).isGreaterThanOrEqualTo(before.getOrDefault("b", 0));
        assertRulesKept();
    }

    /** Guards against a replacement that is ordered only when the server is gone. */
    @Test
    void aServerThatLeavesAtShortNoticeIsReplacedAtOnce() {
        mWorld.setCalls(seconds -> 72);
        mWorld.run(Duration.ofSeconds(60));
        assertThat(mPlatform.calls()).isEmpty();
        mPlatform.announceLeaving(mPlatform.servers().keySet().iterator().next());
        mWorld.run(Duration.ofSeconds(1));
        assertThat(mPlatform.ordered("a") + mPlatform.ordered("b")).isEqualTo(7);
    }

    /** Guards against a failure domain without servers that is taken for a lost one. */
    @Test
    void growsAgainAfterAllServersWereGivenBack() {
        ScalingWorld world =
                new ScalingWorld(Optional.of(ScalingWorld.limits(0, 20)), Map.of("a", 1, "b", 1));
        world.setCalls(seconds -> seconds < 240 ? 0 : 30);
        world.run(Duration.ofSeconds(240));
        assertThat(world.mPlatform.servers()).isEmpty();
        world.run(Duration.ofSeconds(30));
        assertThat(world.mPlatform.servers()).hasSizeGreaterThanOrEqualTo(3);
    }

    /** Guards against a failure domain that loses all servers and gets no calls any more. */
    @Test
    void aFailureDomainWhoseServersAreAllMissingKeepsItsNumber() {
        mWorld.setCalls(seconds -> seconds < 60 ? 60 : 10);
        mWorld.run(Duration.ofSeconds(60));
        mPlatform.servers().keySet().removeIf(name -> name.startsWith("b-"));
        mWorld.run(Duration.ofMinutes(3));
        assertThat(mPlatform.attempts()).isZero();
    }

    /** Guards against a replacement that is never sent, because no server is left to hear from. */
    @Test
    void aReplacementThatTheApiDidNotTakeIsSentAlsoWhenNoServerIsLeft() {
        ScalingWorld world =
                new ScalingWorld(Optional.of(ScalingWorld.limits(1, 3)), Map.of("a", 1));
        world.setCalls(seconds -> 6);
        world.run(Duration.ofSeconds(60));
        String server = world.mPlatform.servers().keySet().iterator().next();
        world.mPlatform.setTreatment(ScalingPlatform.Treatment.UNREACHED);
        world.mPlatform.announceLeaving(server);
        world.run(Duration.ofSeconds(5));
        world.mPlatform.servers().remove(server);
        world.run(Duration.ofSeconds(5));
        assertThat(world.mPlatform.attempts()).isPositive();
        world.mPlatform.setTreatment(ScalingPlatform.Treatment.ACCEPTED);
        world.run(Duration.ofSeconds(30));
        assertThat(world.mPlatform.ordered("a")).isEqualTo(2);
        assertThat(world.mPlatform.servers()).isNotEmpty();
    }

    private void growAfterAMinute() {
        mWorld.setCalls(seconds -> seconds < 60 ? 60 : 160);
    }

    /** The rules of the platform: tokens never fall, and no two holders act close together. */
    private void assertRulesKept() {
        List<ScalingPlatform.Call> calls = mPlatform.calls();
        Map<Long, String> holders = new HashMap<>();
        for (int index = 0; index < calls.size(); index++) {
            ScalingPlatform.Call call = calls.get(index);
            assertThat(holders.putIfAbsent(call.term(), call.holder()))
                    .as("holder of term " + call.term())
                    .isIn(null, call.holder());
            if (index > 0) {
                ScalingPlatform.Call before = calls.get(index - 1);
                assertThat(call.term()).isGreaterThanOrEqualTo(before.term());
                if (!call.holder().equals(before.holder())) {
                    assertThat(call.atMillis() - before.atMillis()).isGreaterThanOrEqualTo(3000);
                }
            }
        }
        assertThat(holders).isNotEmpty();
    }
}
