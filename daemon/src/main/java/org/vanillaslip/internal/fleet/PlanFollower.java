package org.vanillaslip.internal.fleet;

import static org.vanillaslip.internal.logging.LogField.field;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.vanillaslip.MonotonicClock;
import org.vanillaslip.internal.control.configuration.CollectionListener;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.UnreadableEntries;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;
import org.vanillaslip.internal.serving.ServingPlan;

/** Watches the configuration and puts a version in force if it is newer than the current one. */
public final class PlanFollower implements CollectionListener, PlanView {

    private final ServingCollections mCollections;
    private final EventLog mLog;
    private final UnreadableEntries mUnreadable;
    private final List<Consumer<ServingPlan>> mListeners = new ArrayList<>();
    private Optional<ServingPlan> mCurrent = Optional.empty();

    /** Creates a follower without a configuration. */
    public PlanFollower(ServingCollections collections, MonotonicClock clock, EventLog log) {
        mCollections = collections;
        mLog = log;
        mUnreadable = new UnreadableEntries(FleetEvent.PLAN_UNREADABLE, clock, log);
    }

    /** Registers a listener for versions that are put in force. */
    public void onChange(Consumer<ServingPlan> listener) {
        mListeners.add(listener);
    }

    @Override
    public Optional<ServingPlan> current() {
        return mCurrent;
    }

    @Override
    public void listed(ObjectList list) {
        list.objects().forEach(this::apply);
    }

    @Override
    public void changed(WatchEvent event) {
        if (event.type() == WatchEventType.ADDED || event.type() == WatchEventType.MODIFIED) {
            apply(event.object());
        }
    }

    private void apply(StoredObject object) {
        Optional<Either<String, ServingPlan>> decoded = mCollections.plan(object);
        decoded.ifPresent(
                plan ->
                        plan.peek(readable -> mUnreadable.remove(object.name()))
                                .peek(this::putInForce)
                                .peekLeft(fault -> mUnreadable.report(object.name(), fault)));
    }

    private void putInForce(ServingPlan plan) {
        if (mCurrent.isPresent() && mCurrent.get().version() >= plan.version()) {
            return;
        }
        // A version that a listener fails on must not count as in force.
        mListeners.forEach(listener -> listener.accept(plan));
        mCurrent = Optional.of(plan);
        mLog.log(
                FleetEvent.PLAN_IN_FORCE,
                field("version", plan.version()),
                field("routes", plan.routes().size()),
                field("workspaces", plan.workspaces().size()));
        if (!plan.ignored().isEmpty()) {
            mLog.log(
                    FleetEvent.PLAN_ENTRIES_IGNORED,
                    field("version", plan.version()),
                    field("ignored", String.join("; ", plan.ignored())));
        }
    }
}
