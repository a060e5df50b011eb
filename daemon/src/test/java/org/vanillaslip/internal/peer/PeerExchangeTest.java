package org.vanillaslip.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.vanillaslip.messages.ConfigurationDigest;
import org.vanillaslip.messages.Envelope;
import reactor.core.publisher.Mono;

/** Guards against mismatched replies, requests handled twice, and stale entries of live hosts. */
class PeerExchangeTest {

    private static final Duration SECOND = Duration.ofSeconds(1);

    private final FakePeerNetwork mNetwork = new FakePeerNetwork(1);
    private final PeerLinks mOne = mNetwork.addHost("one");
    private final PeerLinks mTwo = mNetwork.addHost("two");
    private final List<Either<PeerFailure, Envelope>> mReplies = new ArrayList<>();
    private int mHandledCount;

    @Test
    void everyRequestGetsItsOwnReplyDespiteDuplicatesAndReordering() {
        mNetwork.setLossAndDuplication(0, 50);
        mNetwork.setDelay(Duration.ofMillis(1), Duration.ofMillis(50));
        echo();
        for (int i = 1; i <= 100; i++) {
            int expected = i;
            mOne.request("two", digest(i), SECOND)
                    .subscribe(
                            reply -> {
                                mReplies.add(reply);
                                assertThat(reply.get().getConfigurationDigest().getVersion())
                                        .isEqualTo(expected);
                            });
        }
        mNetwork.advanceTime(SECOND);
        assertThat(mReplies).hasSize(100);
        assertThat(mHandledCount).isEqualTo(100);
    }

    @Test
    void aRequestToADisconnectedHostTimesOutAndTheHostIsNotLive() {
        echo();
        mNetwork.advanceTime(SECOND);
        assertThat(mOne.liveHosts()).containsExactly("two");
        mNetwork.setDisconnected("two", true);
        mOne.request("two", digest(1), SECOND).subscribe(mReplies::add);
        mNetwork.advanceTime(Duration.ofSeconds(5));
        assertThat(mReplies).containsExactly(Either.left(PeerFailure.TIMEOUT));
        assertThat(mOne.liveHosts()).isEmpty();
        mNetwork.setDisconnected("two", false);
        mNetwork.advanceTime(Duration.ofSeconds(2));
        assertThat(mOne.liveHosts()).containsExactly("two");
    }

    private void echo() {
        mTwo.handle(
                Envelope.BodyCase.CONFIGURATION_DIGEST,
                request -> {
                    mHandledCount++;
                    return Mono.just(
                            Envelope.newBuilder()
                                    .setConfigurationDigest(request.getConfigurationDigest()));
                });
        mNetwork.advanceTime(Duration.ofMillis(10));
    }

    private static Envelope.Builder digest(long version) {
        return Envelope.newBuilder()
                .setConfigurationDigest(ConfigurationDigest.newBuilder().setVersion(version));
    }
}
