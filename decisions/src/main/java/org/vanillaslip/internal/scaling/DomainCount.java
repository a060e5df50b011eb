package org.vanillaslip.internal.scaling;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import org.vanillaslip.internal.serving.ServerScaling;

/** Number of servers that a pool should have in a failure domain. */
final class DomainCount {

    /** A server that leaves within this time after a step back leaves because of it. */
    private static final long GIVE_BACK_NANOS = Duration.ofMinutes(1).toNanos();

    /**
     * By then a restarted server has booted and is listed again; what is still missing after it was
     * listed twice, or is not replaced.
     */
    private static final long MISSING_NANOS = Duration.ofMinutes(1).toNanos();

    private final String mName;
    private final Deque<Long> mGivenBackAt = new ArrayDeque<>();
    private final Set<String> mLeaving = new HashSet<>();
    private final Set<String> mLeavingAtShortNotice = new HashSet<>();
    private int mServers;
    private boolean mDecided;
    private boolean mLeavingKnown;
    private boolean mFewerListed;
    private long mFewerListedSince;
    private int mMostListedSince;

    DomainCount(String name) {
        mName = name;
    }

    String name() {
        return mName;
    }

    int servers() {
        return mServers;
    }

    /** Returns the number without the servers that leave at short notice. */
    int remaining() {
        return mServers - leavingAtShortNotice();
    }

    /** Returns whether the number was ordered, and not only taken from the list of servers. */
    boolean decided() {
        return mDecided;
    }

    void decide(int servers) {
        mServers = servers;
        mDecided = true;
    }

    void giveBackOne(long nowNanos) {
        decide(mServers - 1);
        mGivenBackAt.addLast(nowNanos);
    }

    /** Returns the number of listed servers that leave although their number was not lowered. */
    int leavingAtShortNotice() {
        return mLeavingAtShortNotice.size();
    }

    void forgetLeaving() {
        mLeaving.clear();
        mLeavingAtShortNotice.clear();
        mLeavingKnown = false;
    }

    /**
     * Adopts what is listed. Before the first decision, the largest number that was listed lately
     * is taken for the ordered one, because servers may be listed one after another.
     */
    void observe(DomainServers servers, ServerScaling limits, long nowNanos) {
        if (mDecided) {
            mServers = Math.max(limits.minServers(), mServers);
        } else {
            // The platform may not have started the minimum yet, so it is not counted.
            adoptListed(servers, nowNanos);
        }
        mServers = Math.min(limits.maxServers(), mServers);
        mLeaving.retainAll(servers.leaving());
        mLeavingAtShortNotice.retainAll(servers.leaving());
        while (!mGivenBackAt.isEmpty() && nowNanos - mGivenBackAt.getFirst() > GIVE_BACK_NANOS) {
            mGivenBackAt.removeFirst();
        }
        for (String server : servers.leaving()) {
            if (mLeaving.add(server) && leavesAtShortNotice(servers)) {
                mLeavingAtShortNotice.add(server);
            }
        }
        mLeavingKnown = true;
    }

    /** Lowers the number only after fewer were listed for some time by a domain that is heard. */
    private void adoptListed(DomainServers servers, long nowNanos) {
        int listed = servers.ready() + servers.leaving().size();
        if (servers.view() != DomainView.FOLLOWED || listed >= mServers) {
            mServers = Math.max(mServers, listed);
            mFewerListed = false;
            return;
        }
        if (!mFewerListed) {
            mFewerListed = true;
            mFewerListedSince = nowNanos;
            mMostListedSince = listed;
        }
        mMostListedSince = Math.max(mMostListedSince, listed);
        if (nowNanos - mFewerListedSince >= MISSING_NANOS) {
            mServers = mMostListedSince;
            mFewerListed = false;
        }
    }

    private boolean leavesAtShortNotice(DomainServers servers) {
        if (!mLeavingKnown) {
            // An earlier holder may have lowered the number.
            return leavingAtShortNotice() < mServers - servers.ready();
        }
        if (!mGivenBackAt.isEmpty()) {
            mGivenBackAt.removeFirst();
            return false;
        }
        return true;
    }
}
