package org.vanillaslip.internal.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.vanillaslip.internal.fleet.CallTarget;
import org.vanillaslip.internal.fleet.ServerRequest;
import org.vanillaslip.internal.fleet.WaitBounds;
import org.vanillaslip.internal.serving.ServedRoute;
import org.vanillaslip.internal.serving.WorkspacePolicy;

/** One admitted call and what has happened to it so far; used on the decision loop only. */
final class RelayCall {

    /** Sends of one call, those that a server turned away included. */
    private static final int MOST_SENDS = 6;

    private final CallHead mHead;
    private final HttpMethod mMethod;
    private final String mUri;
    private final HttpHeaders mHeaders;
    private final byte[] mBody;
    private final ServedRoute mRoute;
    private final CallTarget mTarget;
    private final Optional<WorkspacePolicy> mTerms;
    private final long mArrivedNanos;
    private final long mEndNanos;
    private final Set<String> mTried = new HashSet<>();
    private int mSends;
    private int mRuns;
    private boolean mMayHaveRun;
    private boolean mUnderWay;
    private boolean mCallerHasLeft;
    private String mServer = "";

    RelayCall(
            CallHead head,
            HttpMethod method,
            String uri,
            HttpHeaders headers,
            byte[] body,
            ServedRoute route,
            CallTarget target,
            Optional<WorkspacePolicy> terms,
            long arrivedNanos) {
        mHead = head;
        mMethod = method;
        mUri = uri;
        mHeaders = headers;
        mBody = body;
        mRoute = route;
        mTarget = target;
        mTerms = terms;
        mArrivedNanos = arrivedNanos;
        Duration wait =
                head.timeLeft()
                        .filter(left -> left.compareTo(route.timeout()) < 0)
                        .orElse(route.timeout());
        mEndNanos = arrivedNanos + wait.toNanos();
    }

    CallHead head() {
        return mHead;
    }

    HttpMethod method() {
        return mMethod;
    }

    String uri() {
        return mUri;
    }

    HttpHeaders headers() {
        return mHeaders;
    }

    byte[] body() {
        return mBody;
    }

    ServedRoute route() {
        return mRoute;
    }

    CallTarget target() {
        return mTarget;
    }

    Optional<WorkspacePolicy> terms() {
        return mTerms;
    }

    Set<String> tried() {
        return mTried;
    }

    int sends() {
        return mSends;
    }

    String server() {
        return mServer;
    }

    long arrivedNanos() {
        return mArrivedNanos;
    }

    /** The priority of the workspace goes before that of the route. */
    int priority() {
        return mTerms.map(terms -> terms.priority().orElse(mRoute.priority()))
                .orElse(mRoute.priority());
    }

    Duration left(long nowNanos) {
        return Duration.ofNanos(Math.max(0, mEndNanos - nowNanos));
    }

    /** Returns the part of the prompt that the calls of a session share. */
    private Optional<String> sessionPart() {
        int parts = mHead.promptParts().size();
        return parts == 0 ? Optional.empty() : Optional.of(mHead.promptParts().get(parts - 1));
    }

    ServerRequest wish() {
        return new ServerRequest(mHead.id(), mTarget, sessionPart(), Set.copyOf(mTried));
    }

    /**
     * Returns how long the call may wait for a server.
     *
     * @param shortestRun time that an answer takes at least
     */
    WaitBounds bounds(Duration shortestRun) {
        // Without a load to wait for, a call that finds no server in time is better off elsewhere.
        Duration patience = mTarget.model().isEmpty() ? mRoute.objective() : mRoute.callerTimeout();
        long leaves = mArrivedNanos + patience.toNanos();
        return new WaitBounds(
                priority(),
                mArrivedNanos + mRoute.objective().toNanos(),
                Math.min(mEndNanos, leaves) - shortestRun.toNanos());
    }

    void sending(String instance) {
        mSends++;
        mServer = instance;
        mUnderWay = true;
    }

    /** Notes that the send has failed, so that no server has the call now. */
    void sendEnded() {
        mUnderWay = false;
    }

    /** Returns whether the call is with a server. */
    boolean underWay() {
        return mUnderWay;
    }

    /** Notes that nobody waits for the answer. */
    void callerLeft() {
        mCallerHasLeft = true;
    }

    boolean callerHasLeft() {
        return mCallerHasLeft;
    }

    /** Notes that a send may have run. */
    void mayHaveRun() {
        mRuns++;
        mMayHaveRun = true;
    }

    /** Returns whether a server may have run the call, so that "not run" would be untrue. */
    boolean hasMaybeRun() {
        return mMayHaveRun;
    }

    /** Returns whether another server may run the call while the first one might. */
    boolean allowsSecondRun() {
        return mRoute.repeatable() && mRoute.attempts() > mRuns + 1;
    }

    /** Returns whether the call may be sent once more after the failure. */
    boolean maySendAgain(SendFailureKind kind) {
        if (mSends >= MOST_SENDS) {
            return false;
        }
        return kind != SendFailureKind.UNKNOWN
                || (mRoute.repeatable() && mRuns < Math.max(1, mRoute.attempts()));
    }
}
