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

/** Tests the controller together with its state machines, a store, links and a stand-in engine. */
class PlacementControllerTest {

    private static final Duration WAIT = Duration.ofSeconds(20);

    private final ControllerFixture mFixture = new ControllerFixture();

    @AfterEach
    void close() {
        mFixture.close();
    }

    @Test
    void bothHostsSeeTheReplicaOfAnActivatedModel() {
        ModelName model = ModelName.parse("m");
        mFixture.startAndAwaitHolder();
        mFixture.onLoop(() -> mFixture.mSecond.activate(model, WAIT)).block(WAIT);
        assertThat(mFixture.awaitReplica(mFixture.mFirst, model)).isNotNull();
        Replica replica = mFixture.awaitReplica(mFixture.mSecond, model);
        assertThat(replica.incarnation()).isEqualTo(mFixture.mEngine.incarnation());
        assertThat(mFixture.mEngine.violations()).isEmpty();
        assertThat(mFixture.mEventNumbers).contains(300, 310, 320);
    }

    /**
     * Guards against loading a model that no request waits for: the request was refused while the
     * server was drained, and the server returned to service before the request's deadline.
     */
    @Test
    void doesNotLoadAModelWhoseRequestsWereWithdrawnDuringADrain() {
        ModelName model = ModelName.parse("m");
        mFixture.startAndAwaitHolder();
        mFixture.setDrained(true);
        mFixture.onLoop(() -> mFixture.mSecond.activate(model, WAIT)).block(WAIT);
        mFixture.onLoop(() -> Mono.fromRunnable(() -> mFixture.mSecond.withdraw(model)))
                .block(WAIT);
        Mono.delay(RequestLifetime.of(WAIT).plus(RequestLifetime.EXCHANGE_INTERVAL)).block();
        mFixture.setDrained(false);
        Mono.delay(RequestLifetime.EXCHANGE_INTERVAL).block();
        assertThat(mFixture.mEventNumbers).doesNotContain(310);
    }

    /** Guards against losing a request that still waits when its server returns to service. */
    @Test
    void loadsAModelThatARequestStillWaitsForAfterADrain() {
        ModelName model = ModelName.parse("m");
        mFixture.startAndAwaitHolder();
        mFixture.setDrained(true);
        mFixture.onLoop(() -> mFixture.mSecond.activate(model, WAIT)).block(WAIT);
        Mono.delay(RequestLifetime.of(WAIT).plus(RequestLifetime.EXCHANGE_INTERVAL)).block();
        mFixture.setDrained(false);
        assertThat(mFixture.awaitReplica(mFixture.mSecond, model)).isNotNull();
    }

    @Test
    void theOtherHostTakesTheLeaseAfterAPlannedStop() {
        mFixture.startAndAwaitHolder();
        String holder = mFixture.holder(mFixture.mFirst);
        mFixture.controller(holder).stop().block(WAIT);
        String other = holder.equals("h0") ? "h1" : "h0";
        Mono.fromSupplier(() -> mFixture.holder(mFixture.controller(other)))
                .repeat()
                .takeUntil(other::equals)
                .blockLast(WAIT);
    }

    /** Guards against sending an unchanged record to every host of the failure domain every 2 s. */
    @Test
    void sendsHeartbeatsWithoutTheRecordToAHostThatConfirmedTheVersion() {
        mFixture.startAndAwaitHolder();
        awaitDigests(digest -> isHeartbeat(digest));
        PlacementDigest heartbeat =
                mFixture.mDigests.stream().filter(d -> isHeartbeat(d)).findFirst().orElseThrow();
        assertThat(mFixture.mDigests)
                .anyMatch(d -> isFull(d) && d.getVersion() == heartbeat.getVersion());
    }

    /** Guards against not resending the record to a host whose confirmation was lost. */
    @Test
    void resendsTheRecordToAHostThatHasNotConfirmedTheVersion() {
        mFixture.mDropConfirmations = true;
        mFixture.startAndAwaitHolder();
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
