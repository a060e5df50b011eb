package org.vanillaslip.internal.fleet;

import static org.vanillaslip.internal.logging.LogField.field;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.internal.control.configuration.CollectionListener;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.StoreVersion;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;
import org.vanillaslip.internal.runtime.DecisionLoop;

/** Tracks the failure domains that operators have drained. */
public final class DrainFollower implements CollectionListener {

    private final ServingCollections mCollections;
    private final DecisionLoop mLoop;
    private final EventLog mLog;
    private final Set<FailureDomain> mDrained = new HashSet<>();

    /** Versions of the changes that are newer than the last list. */
    private final Map<FailureDomain, Long> mChangedAt = new HashMap<>();

    /** Versions of the lists of a restored store that lack drained domains. */
    private final Map<FailureDomain, Long> mMissingSince = new HashMap<>();

    private long mEra;
    private boolean mListed;

    /** Creates a follower without drained failure domains. */
    public DrainFollower(ServingCollections collections, DecisionLoop loop, EventLog log) {
        mCollections = collections;
        mLoop = loop;
        mLog = log;
    }

    /** Returns whether the failure domain is drained. */
    public boolean isDrained(FailureDomain domain) {
        return mDrained.contains(domain);
    }

    /** Returns whether the list of drains has been read at least once. */
    public boolean listed() {
        return mListed;
    }

    @Override
    public void listed(ObjectList list) {
        // A list may have been read before a change that has arrived earlier.
        mChangedAt.values().removeIf(version -> version <= list.version());
        boolean restored = mListed && StoreVersion.era(list.version()) > mEra;
        mEra = Math.max(mEra, StoreVersion.era(list.version()));
        Set<FailureDomain> listed =
                list.objects().stream().map(mCollections::drained).collect(Collectors.toSet());
        Set.copyOf(mDrained).stream()
                .filter(domain -> !listed.contains(domain) && !mChangedAt.containsKey(domain))
                .forEach(
                        domain -> {
                            if (restored) {
                                returnToServiceUnlessWritten(domain, list.version());
                            } else if (!mMissingSince.containsKey(domain)) {
                                returnToService(domain);
                            }
                        });
        listed.stream().filter(domain -> !mChangedAt.containsKey(domain)).forEach(this::drain);
        mListed = true;
    }

    @Override
    public void changed(WatchEvent event) {
        if (event.type() == WatchEventType.BOOKMARK) {
            return;
        }
        FailureDomain domain = mCollections.drained(event.object());
        mChangedAt.put(domain, event.object().version());
        if (event.type() == WatchEventType.DELETED) {
            mMissingSince.remove(domain);
            returnToService(domain);
        } else {
            drain(domain);
        }
    }

    /** Operators write again what the store lost, so that a drain may only seem to have ended. */
    private void returnToServiceUnlessWritten(FailureDomain domain, long version) {
        mMissingSince.put(domain, version);
        mLoop.scheduler()
                .schedule(
                        () -> {
                            if (mMissingSince.remove(domain, version)) {
                                returnToService(domain);
                            }
                        },
                        StoreAnswerHistory.RELISTING_TIME.toNanos(),
                        TimeUnit.NANOSECONDS);
    }

    private void drain(FailureDomain domain) {
        mMissingSince.remove(domain);
        if (mDrained.add(domain)) {
            mLog.log(FleetEvent.DOMAIN_DRAINED, field("failure_domain", domain.name()));
        }
    }

    private void returnToService(FailureDomain domain) {
        if (mDrained.remove(domain)) {
            mLog.log(FleetEvent.DOMAIN_RETURNED, field("failure_domain", domain.name()));
        }
    }
}
