package org.vanillaslip.internal.control.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.control.Replica;
import org.vanillaslip.messages.PlacementDigest;
import reactor.core.publisher.Mono;

/** Guards the wiring of the state machines with the store, the links and a real engine. */
class PlacementControllerTest {

    private static final Duration WAIT = Duration.ofSeconds(20);

    private final ControllerFixture mFixture = new ControllerFixture();

    @AfterEach
    void close() {
        mFixture.close();
    }

    @Test
    void anActivationLoadsTheModelAndTheReplicaIsSeenByBothHosts() {
        ModelName model = ModelName.parse("m");
        mFixture.awaitHolder();
        mFixture.onLoop(() -> mFixture.mSecond.activate(model, WAIT)).block(WAIT);
        assertThat(mFixture.awaitReplica(mFixture.mFirst, model)).isNotNull();
        Replica replica = mFixture.awaitReplica(mFixture.mSecond, model);
        assertThat(replica.incarnation()).isEqualTo(mFixture.mEngine.incarnation());
        assertThat(mFixture.mEngine.violations()).isEmpty();
        assertThat(mFixture.mEvents).contains(300, 310, 320);
    }

    /**
     * Guards against a load for nobody: the request was refused while the server was drained, and
     * the server came back before the request's deadline.
     */
    @Test
    void aReturningServerDoesNotLoadAModelWhoseRequestsWereRefused() {
        ModelName model = ModelName.parse("m");
        mFixture.awaitHolder();
        mFixture.drain(true);
        mFixture.onLoop(() -> mFixture.mSecond.activate(model, WAIT)).block(WAIT);
        mFixture.onLoop(() -> Mono.fromRunnable(() -> mFixture.mSecond.withdraw(model)))
                .block(WAIT);
        Mono.delay(RequestLifetime.lifetime(WAIT).plus(RequestLifetime.EXCHANGE)).block();
        mFixture.drain(false);
        Mono.delay(RequestLifetime.EXCHANGE).block();
        assertThat(mFixture.mEvents).doesNotContain(310);
    }

    /** Guards against forgetting a request that still waits when its server returns. */
    @Test
    void aReturningServerLoadsAModelThatARequestStillWaitsFor() {
        ModelName model = ModelName.parse("m");
        mFixture.awaitHolder();
        mFixture.drain(true);
        mFixture.onLoop(() -> mFixture.mSecond.activate(model, WAIT)).block(WAIT);
        Mono.delay(RequestLifetime.lifetime(WAIT).plus(RequestLifetime.EXCHANGE)).block();
        mFixture.drain(false);
        assertThat(mFixture.awaitReplica(mFixture.mSecond, model)).isNotNull();
    }

    @Test
    void aPlannedStopReleasesTheLeaseAndTheOtherHostTakesIt() {
        mFixture.awaitHolder();
        String before = mFixture.holder(mFixture.mFirst);
        mFixture.controller(before).stop().block(WAIT);
        String other = before.equals("h0") ? "h1" : "h0";
        Mono.fromSupplier(() -> mFixture.holder(mFixture.controller(other)))
                .repeat()
                .takeUntil(other::equals)
                .blockLast(WAIT);
    }

    /** Guards against sending an unchanged record to every host of the domain every 2 s. */
    @Test
    void aHostThatHasConfirmedTheVersionGetsHeartbeatsWithoutTheRecord() {
        mFixture.awaitHolder();
        awaitDigests(digest -> isHeartbeat(digest));
        PlacementDigest heartbeat =
                mFixture.mDigests.stream().filter(d -> isHeartbeat(d)).findFirst().orElseThrow();
        assertThat(mFixture.mDigests)
                .anyMatch(d -> isFull(d) && d.getVersion() == heartbeat.getVersion());
    }

    /** Guards against leaving a host without the record after its confirmation was lost. */
    @Test
    void aHostThatHasNotConfirmedTheVersionGetsTheRecordAgain() {
        mFixture.mConfirmationsLost = true;
        mFixture.awaitHolder();
        awaitDigests(
                digest ->
                        mFixture.mDigests.stream()
                                        .filter(d -> isFull(d))
                                        .filter(d -> d.getVersion() == digest.getVersion())
                                        .count()
                                > 1);
        assertThat(mFixture.mDigests).noneMatch(d -> isHeartbeat(d));
    }

    private void awaitDigests(Predicate<PlacementDigest> condition) {
        Mono.fromSupplier(() -> mFixture.mDigests.stream().anyMatch(condition))
                .delaySubscription(Duration.ofMillis(20))
                .repeat()
                .takeUntil(found -> found)
                .blockLast(WAIT);
    }

    private static boolean isHeartbeat(PlacementDigest digest) {
        return !digest.getRecordJson().isEmpty() && !isFull(digest);
    }

    private static boolean isFull(PlacementDigest digest) {
        return digest.getRecordJson().toStringUtf8().contains("\"lease\"");
    }
}
