package org.vanillaslip.internal.fleet;

import static org.vanillaslip.internal.logging.LogField.field;

import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.internal.control.configuration.CollectionListener;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;

/** Tracks the failure domains that operators have drained. */
public final class DrainFollower implements CollectionListener {

    private final ServingCollections mCollections;
    private final EventLog mLog;
    private final Set<FailureDomain> mDrained = new HashSet<>();
    private boolean mListed;

    /** Creates a follower without drained failure domains. */
    public DrainFollower(ServingCollections collections, EventLog log) {
        mCollections = collections;
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
        Set<FailureDomain> listed =
                list.objects().stream().map(mCollections::drained).collect(Collectors.toSet());
        Set.copyOf(mDrained).stream()
                .filter(domain -> !listed.contains(domain))
                .forEach(this::returnToService);
        listed.forEach(this::drain);
        mListed = true;
    }

    @Override
    public void changed(WatchEvent event) {
        if (event.type() == WatchEventType.DELETED) {
            returnToService(mCollections.drained(event.object()));
        } else if (event.type() != WatchEventType.BOOKMARK) {
            drain(mCollections.drained(event.object()));
        }
    }

    private void drain(FailureDomain domain) {
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
