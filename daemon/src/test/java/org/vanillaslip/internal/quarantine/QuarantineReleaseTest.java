package org.vanillaslip.internal.quarantine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.vanillaslip.internal.gateway.RefusedException;
import org.vanillaslip.internal.peer.FakePeerNetwork;
import org.vanillaslip.internal.peer.PeerLinks;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.Heartbeat;

/** Guards against a call that stays in quarantine at some host, or in none, after a release. */
class QuarantineReleaseTest {

    private static final List<String> CALL = List.of(CallSubject.of("bad"));
    private static final Duration MESSAGE_TIME = Duration.ofMillis(50);

    private final FakePeerNetwork mNetwork = new FakePeerNetwork(1);
    private final OneObjectStore mStore = new OneObjectStore();
    private final PeerLinks mFinderLinks = mNetwork.addHost("finder");
    private final PromptFaultExchange mFinder = newExchange(mFinderLinks);
    private final PromptFaultExchange mOther = newExchange(mNetwork.addHost("other"));
    private int mCrashes;

    /** Guards against a host that has just started and sends a known call to the servers again. */
    @Test
    void aHostThatStartsLearnsOfAKnownCallFromHeartbeatsAndFromTheStore() {
        crashServers();
        PromptFaultExchange fromHeartbeat = newExchange(mNetwork.addHost("from heartbeat"));
        mStore.setUnavailable(true);
        fromHeartbeat.start();
        sendHeartbeat("from heartbeat");
        mStore.setUnavailable(false);
        PromptFaultExchange fromStore = newExchange(mNetwork.addHost("from store"));
        fromStore.start();
        mNetwork.advanceTime(Duration.ofSeconds(1));

        assertRefused(fromHeartbeat);
        assertRefused(fromStore);
    }

    @Test
    void aReleaseHoldsAtAllHosts() {
        start();
        crashServers();
        assertRefused(mFinder);
        assertRefused(mOther);

        assertThat(mOther.release(CALL.get(0))).isTrue();
        mNetwork.advanceTime(MESSAGE_TIME);

        mFinder.checkParts(CALL);
        mOther.checkParts(CALL);
    }

    /** Guards against a host that missed the release and whose heartbeats bring it back. */
    @Test
    void anEarlierQuarantineInAHeartbeatIsNotTakenUpAgain() {
        start();
        crashServers();
        mNetwork.advanceTime(Duration.ofSeconds(5));
        Envelope.Builder heartbeat = heartbeat();
        mOther.release(CALL.get(0));
        mNetwork.advanceTime(MESSAGE_TIME);

        mFinderLinks.send("other", heartbeat);
        mNetwork.advanceTime(MESSAGE_TIME);

        mOther.checkParts(CALL);
    }

    /** Guards against a host that starts later and takes the released call from the store. */
    @Test
    void aReleaseIsKeptInTheStore() {
        start();
        crashServers();
        mFinder.release(CALL.get(0));
        mNetwork.advanceTime(Duration.ofSeconds(1));

        PromptFaultExchange started = newExchange(mNetwork.addHost("started"));
        started.start();
        mNetwork.advanceTime(Duration.ofSeconds(1));

        started.checkParts(CALL);
    }

    /** Guards against a released call that may crash any number of servers. */
    @Test
    void aReleasedCallThatCrashesServersIsFoundAgain() {
        start();
        crashServers();
        mOther.release(CALL.get(0));
        mNetwork.advanceTime(Duration.ofSeconds(1));

        crashServers();

        assertRefused(mFinder);
        assertRefused(mOther);
    }

    private void start() {
        mFinder.start();
        mOther.start();
    }

    private void crashServers() {
        for (int crash = 0; crash < 3; crash++) {
            int server = mCrashes++;
            mFinder.recordUnanswered(
                    "c" + server,
                    new UnansweredCall("s" + server, "z" + server, "bad", CALL, true));
            mNetwork.advanceTime(Duration.ofSeconds(1));
        }
    }

    private Envelope.Builder heartbeat() {
        return Envelope.newBuilder()
                .setHeartbeat(
                        Heartbeat.newBuilder().addAllQuarantinedParts(mFinder.quarantinedParts()));
    }

    private void sendHeartbeat(String host) {
        mFinderLinks.send(host, heartbeat());
        mNetwork.advanceTime(MESSAGE_TIME);
    }

    private static void assertRefused(PromptFaultExchange exchange) {
        assertThatThrownBy(() -> exchange.checkParts(CALL)).isInstanceOf(RefusedException.class);
    }

    private PromptFaultExchange newExchange(PeerLinks links) {
        QuarantineRecord record =
                new QuarantineRecord(
                        mStore,
                        () -> Instant.EPOCH.plusNanos(mNetwork.loop().clock().nowNanos()),
                        mNetwork.loop(),
                        (event, fields) -> {});
        return new PromptFaultExchange(
                links,
                record,
                server -> Optional.empty(),
                mNetwork.loop(),
                new SplittableRandom(1),
                (event, fields) -> {});
    }
}
