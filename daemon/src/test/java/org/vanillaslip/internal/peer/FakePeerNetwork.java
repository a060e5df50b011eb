package org.vanillaslip.internal.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.vanillaslip.internal.runtime.DecisionLoop;
import org.vanillaslip.messages.Envelope;
import org.vanillaslip.messages.Heartbeat;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Simulates links between hosts in virtual time, with random faults from a seed. */
public final class FakePeerNetwork {

    private final VirtualTimeScheduler mScheduler = VirtualTimeScheduler.create();
    private final DecisionLoop mLoop =
            new DecisionLoop(mScheduler, () -> mScheduler.now(TimeUnit.NANOSECONDS));
    private final Map<String, PeerExchange> mHosts = new HashMap<>();
    private final Set<String> mDisconnected = new HashSet<>();
    private final SplittableRandom mRandom;
    private long mDelayNanos = 1_000_000;
    private long mJitterNanos;
    private int mLossPercent;
    private int mDuplicatePercent;
    private long mMessageCount;

    /** Creates a network without faults and with a delay of 1 ms. */
    public FakePeerNetwork(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    /** Returns the decision loop shared by all hosts of this network. */
    public DecisionLoop loop() {
        return mLoop;
    }

    /** Adds a host that sends a heartbeat every second, and returns its links. */
    public PeerLinks addHost(String host) {
        PeerExchange exchange =
                new PeerExchange(
                        host,
                        "incarnation-" + mRandom.nextLong(),
                        mLoop,
                        (to, message) -> send(host, to, message),
                        mRandom.nextLong() >>> 1,
                        PeerTimes.DEFAULT.silenceTimeout());
        mHosts.put(host, exchange);
        mScheduler.schedulePeriodically(
                () -> {
                    Envelope.Builder heartbeat =
                            Envelope.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance());
                    mHosts.keySet().forEach(to -> exchange.send(to, heartbeat));
                    exchange.updateLiveHosts();
                },
                0,
                1,
                TimeUnit.SECONDS);
        return exchange;
    }

    /** Disconnects the host from all connected hosts, or reconnects it. */
    public void setDisconnected(String host, boolean disconnected) {
        if (disconnected) {
            mDisconnected.add(host);
        } else {
            mDisconnected.remove(host);
        }
    }

    /** Sets the delay and the jitter; a jitter above 0 also reorders messages. */
    public void setDelay(Duration delay, Duration jitter) {
        mDelayNanos = delay.toNanos();
        mJitterNanos = jitter.toNanos();
    }

    /** Sets the percentages of messages that are lost and duplicated. */
    public void setLossAndDuplication(int lossPercent, int duplicatePercent) {
        mLossPercent = lossPercent;
        mDuplicatePercent = duplicatePercent;
    }

    /** Advances the virtual time. */
    public void advanceTime(Duration time) {
        mScheduler.advanceTimeBy(time);
    }

    /** Returns the number of messages sent so far, without heartbeats. */
    public long messageCount() {
        return mMessageCount;
    }

    private boolean send(String from, String to, Envelope message) {
        if (from.equals(to) || !mHosts.containsKey(to)) {
            return false;
        }
        if (!message.hasHeartbeat()) {
            mMessageCount++;
        }
        int copies = mRandom.nextInt(100) < mDuplicatePercent ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (mRandom.nextInt(100) >= mLossPercent) {
                long delay = mDelayNanos + (mJitterNanos > 0 ? mRandom.nextLong(mJitterNanos) : 0);
                mScheduler.schedule(() -> deliver(from, to, message), delay, TimeUnit.NANOSECONDS);
            }
        }
        return true;
    }

    private void deliver(String from, String to, Envelope message) {
        if (mDisconnected.contains(from) == mDisconnected.contains(to)) {
            mHosts.get(to).receive(message);
        }
    }
}
