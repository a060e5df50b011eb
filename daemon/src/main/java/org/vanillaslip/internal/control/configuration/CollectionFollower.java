package org.vanillaslip.internal.control.configuration;

import static org.vanillaslip.internal.logging.LogField.field;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.platform.Backoff;
import org.vanillaslip.internal.platform.ObjectList;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformException;
import org.vanillaslip.internal.platform.PlatformFailure;
import org.vanillaslip.internal.platform.StoreVersion;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.Disposable;
import reactor.core.Disposables;

/**
 * Lists a collection and then watches it. Resumes the watch after interruptions and repeats the
 * list periodically to find lost events.
 */
public final class CollectionFollower {

    /** Limits how long an event that was lost without an error can remain unnoticed. */
    static final Duration LIST_INTERVAL = Duration.ofMinutes(10);

    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(200);

    /** A change must be in force within 11 s; half of that is left for the change itself. */
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(5);

    /**
     * The periodic list only finds events that were lost without an error, so it is less urgent.
     */
    private static final Duration MAX_LIST_RETRY_DELAY = Duration.ofMinutes(1);

    private final ObjectStore mStore;
    private final String mCollection;
    private final DecisionLoop mLoop;
    private final RandomGenerator mRandom;
    private final EventLog mLog;
    private final CollectionListener mListener;
    private final Backoff mBackoff;
    private final Backoff mListBackoff;

    /** Slow even where retries are fast, because the platform is not the one that fails. */
    private final Backoff mFaultBackoff;

    private final Disposable.Swap mCall = Disposables.swap();
    private final Disposable.Swap mRetry = Disposables.swap();
    private final Disposable.Swap mPeriodicList = Disposables.swap();
    private final Disposable.Swap mPeriodicListCall = Disposables.swap();
    private final Disposable.Composite mSubscriptions =
            Disposables.composite(mCall, mRetry, mPeriodicList, mPeriodicListCall);
    private long mWatchPosition;

    CollectionFollower(
            ObjectStore store,
            String collection,
            DecisionLoop loop,
            RandomGenerator random,
            EventLog log,
            CollectionListener listener) {
        this(store, collection, loop, random, log, listener, MAX_RETRY_DELAY);
    }

    /**
     * Creates a follower.
     *
     * @param maxDelay maximum delay between two attempts to reach the platform
     */
    public CollectionFollower(
            ObjectStore store,
            String collection,
            DecisionLoop loop,
            RandomGenerator random,
            EventLog log,
            CollectionListener listener,
            Duration maxDelay) {
        mStore = store;
        mCollection = collection;
        mLoop = loop;
        mRandom = random;
        mLog = log;
        mListener = listener;
        mBackoff = new Backoff(INITIAL_RETRY_DELAY, maxDelay, random);
        mFaultBackoff = new Backoff(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY, random);
        mListBackoff = new Backoff(INITIAL_RETRY_DELAY, MAX_LIST_RETRY_DELAY, random);
    }

    /** Starts on the decision loop; the returned handle stops it. */
    public Disposable start() {
        mLoop.scheduler().schedule(this::listThenWatch);
        return mSubscriptions;
    }

    private void listThenWatch() {
        mCall.update(list(this::startWatching, () -> retry(this::listThenWatch)));
    }

    private void startWatching(ObjectList list) {
        if (!deliver(list)) {
            listAfterFault();
            return;
        }
        schedulePeriodicList();
        watch();
    }

    private void watch() {
        mCall.update(
                mStore.watch(mCollection, mWatchPosition)
                        .publishOn(mLoop.scheduler())
                        .subscribe(this::deliver, this::onWatchFailed, this::onWatchCompleted));
    }

    /** Returns whether the listener has applied the list. */
    private boolean deliver(ObjectList list) {
        if (StoreVersion.era(list.version()) < StoreVersion.era(mWatchPosition)) {
            // Relays may know of the store's new era before this host's own calls do.
            return false;
        }
        try {
            mListener.listed(list);
        } catch (RuntimeException fault) {
            logListenerFailed(list.version(), fault);
            return false;
        }
        mFaultBackoff.reset();
        mWatchPosition = Math.max(mWatchPosition, list.version());
        return true;
    }

    private void deliver(WatchEvent event) {
        try {
            mListener.changed(event);
        } catch (RuntimeException fault) {
            logListenerFailed(event.object().version(), fault);
            // Resuming the watch would deliver the same change again, so a list replaces it.
            mCall.update(Disposables.disposed());
            listAfterFault();
            return;
        }
        mBackoff.reset();
        mWatchPosition = Math.max(mWatchPosition, event.object().version());
    }

    private void listAfterFault() {
        mRetry.update(schedule(this::listThenWatch, mFaultBackoff.nextDelay()));
    }

    private void logListenerFailed(long version, RuntimeException fault) {
        mLog.log(
                ConfigurationEvent.LISTENER_FAILED,
                field("collection", mCollection),
                field("version", version),
                field("cause", fault.toString()));
    }

    private void onWatchFailed(Throwable cause) {
        if (cause instanceof PlatformException failure
                && failure.failure() == PlatformFailure.GONE) {
            mLog.log(
                    ConfigurationEvent.WATCH_POSITION_GONE,
                    field("collection", mCollection),
                    field("position", mWatchPosition));
            // The delay spreads out the list calls of hosts that lost their positions at the same
            // time.
            retry(this::listThenWatch);
            return;
        }
        mLog.log(
                ConfigurationEvent.WATCH_ENDED,
                field("collection", mCollection),
                field("position", mWatchPosition),
                field("cause", String.valueOf(cause.getMessage())));
        PlatformFailure failure =
                cause instanceof PlatformException exception
                        ? exception.failure()
                        : PlatformFailure.UNAVAILABLE;
        switch (failure) {
            // Resuming the watch would return the same answer again, so a list replaces it.
            case UNREADABLE -> listAfterFault();
            // Lists without a delay: silence, or changes that arrived late, used most of the time
            // within which a change must be in force.
            case SILENT, BEHIND -> listThenWatch();
            default -> retry(this::watch);
        }
    }

    private void onWatchCompleted() {
        retry(this::watch);
    }

    private void schedulePeriodicList() {
        long interval = LIST_INTERVAL.toMillis();
        // Between 90 and 110 percent, so that hosts started together do not always list together.
        long delay = interval * 9 / 10 + mRandom.nextLong(interval / 5 + 1);
        mPeriodicList.update(schedule(this::listPeriodically, Duration.ofMillis(delay)));
    }

    private void listPeriodically() {
        mPeriodicListCall.update(list(this::onPeriodicList, this::retryPeriodicList));
    }

    private void onPeriodicList(ObjectList list) {
        if (!deliver(list)) {
            retryPeriodicList();
            return;
        }
        mListBackoff.reset();
        schedulePeriodicList();
    }

    private void retryPeriodicList() {
        mPeriodicList.update(schedule(this::listPeriodically, mListBackoff.nextDelay()));
    }

    private Disposable list(Consumer<ObjectList> onList, Runnable onFailure) {
        return mStore.list(mCollection)
                .defaultIfEmpty(Either.left(PlatformFailure.UNAVAILABLE))
                .publishOn(mLoop.scheduler())
                .subscribe(
                        result ->
                                result.peek(onList)
                                        .peekLeft(
                                                failure -> onListFailed(failure.name(), onFailure)),
                        error -> onListFailed(error.toString(), onFailure));
    }

    private void onListFailed(String failure, Runnable onFailure) {
        mLog.log(
                ConfigurationEvent.LIST_FAILED,
                field("collection", mCollection),
                field("failure", failure));
        onFailure.run();
    }

    private void retry(Runnable action) {
        mRetry.update(schedule(action, mBackoff.nextDelay()));
    }

    private Disposable schedule(Runnable action, Duration delay) {
        return mLoop.scheduler().schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
    }
}
