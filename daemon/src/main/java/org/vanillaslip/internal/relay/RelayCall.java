package org.vanillaslip.internal.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.vanillaslip.internal.duty.CallUsage;
import org.vanillaslip.internal.fleet.CallTarget;
import org.vanillaslip.internal.fleet.ServerRequest;
import org.vanillaslip.internal.fleet.WaitBounds;
import org.vanillaslip.internal.quarantine.CallSubject;
import org.vanillaslip.internal.queue.CallProfile;
import org.vanillaslip.internal.quota.WorkspaceCharge;
import org.vanillaslip.internal.serving.ServedRoute;
import org.vanillaslip.internal.serving.WorkspacePolicy;

/** State of one admitted call; used on the decision loop only. */
final class RelayCall {

    /** Includes sends that a server refused. */
    private static final int MAX_SENDS = 6;

    private final ReceivedCall mReceived;
    private final CallHead mHead;
    private final String mFingerprint;
    private final ServedRoute mRoute;
    private final CallTarget mTarget;
    private final Optional<WorkspacePolicy> mPolicy;
    private final long mDeadlineNanos;
    private final Set<String> mTriedServers = new HashSet<>();
    private Optional<WorkspaceCharge> mCharge = Optional.empty();
    private Optional<Long> mLastEventNanos = Optional.empty();
    private int mSendCount;
    private int mPossibleRuns;
    private int mCancelledStandbys;
    private boolean mPossiblyRun;
    private boolean mSendInProgress;
    private final Set<String> mAnsweringServers = new HashSet<>();
    private final Set<String> mTurnedAwayBy = new HashSet<>();
    private boolean mCallerDisconnected;
    private boolean mRetryReserved;
    private boolean mRetryRefused;
    private String mLastServer = "";
    private CallUsage mUsage = CallUsage.NONE;

    RelayCall(
            ReceivedCall received,
            CallHead head,
            String fingerprint,
            ServedRoute route,
            CallTarget target,
            Optional<WorkspacePolicy> policy) {
        mReceived = received;
        mHead = head;
        mFingerprint = fingerprint;
        mRoute = route;
        mTarget = target;
        mPolicy = policy;
        Duration timeout =
                head.timeLeft()
                        .filter(timeLeft -> timeLeft.compareTo(route.timeout()) < 0)
                        .orElse(route.timeout());
        mDeadlineNanos = received.arrivedNanos() + timeout.toNanos();
    }

    CallHead head() {
        return mHead;
    }

    /** Identifies the call and its repetitions. */
    String fingerprint() {
        return mFingerprint;
    }

    CallerConnection caller() {
        return mReceived.caller();
    }

    HttpMethod method() {
        return mReceived.method();
    }

    String uri() {
        return mReceived.uri();
    }

    HttpHeaders headers() {
        return mReceived.headers();
    }

    byte[] body() {
        return mReceived.body();
    }

    ServedRoute route() {
        return mRoute;
    }

    CallTarget target() {
        return mTarget;
    }

    Optional<WorkspacePolicy> policy() {
        return mPolicy;
    }

    /** Sets the count of this call in the usage of its workspace. */
    void setUsage(CallUsage usage) {
        mUsage = usage;
    }

    CallUsage usage() {
        return mUsage;
    }

    void recordCharge(WorkspaceCharge charge) {
        mCharge = Optional.of(charge);
    }

    /** Refunds what the workspace was charged, unless a server may have run the call. */
    void refundUnlessRun() {
        if (!mPossiblyRun && !mSendInProgress) {
            mCharge.ifPresent(WorkspaceCharge::refund);
        }
    }

    Set<String> triedServers() {
        return mTriedServers;
    }

    int sendCount() {
        return mSendCount;
    }

    String lastServer() {
        return mLastServer;
    }

    long arrivedNanos() {
        return mReceived.arrivedNanos();
    }

    /** Returns the priority of the workspace if it has one, otherwise that of the route. */
    int priority() {
        return mPolicy.map(policy -> policy.priority().orElse(mRoute.priority()))
                .orElse(mRoute.priority());
    }

    Duration remainingTime(long nowNanos) {
        return Duration.ofNanos(Math.max(0, mDeadlineNanos - nowNanos));
    }

    /** Returns the id of the last prompt part, which the calls of a session share. */
    private Optional<String> sessionPrefix() {
        int parts = mHead.promptParts().size();
        return parts == 0 ? Optional.empty() : Optional.of(mHead.promptParts().get(parts - 1));
    }

    /** Returns the ids of the prompt parts that calls of other sessions may share, in order. */
    List<String> sharedPromptParts() {
        int parts = mHead.promptParts().size();
        return parts == 0 ? List.of() : mHead.promptParts().subList(0, parts - 1);
    }

    /** Returns the call itself, as a subject of crashes. */
    String callSubject() {
        return CallSubject.of(mFingerprint);
    }

    /** Returns what may crash a server that runs the call. */
    List<String> crashSubjects() {
        List<String> subjects = new ArrayList<>();
        subjects.add(callSubject());
        subjects.addAll(CallSubject.withoutCalls(sharedPromptParts()));
        return List.copyOf(subjects);
    }

    /** Returns an id that the call shares with its repetitions, and not with other sessions. */
    String repeatableId() {
        return mFingerprint + sessionPrefix().map(session -> "/" + session).orElse("");
    }

    ServerRequest serverRequest() {
        return serverRequest(mTriedServers);
    }

    /** Returns the request for a server other than the one that processes the call. */
    ServerRequest standbyRequest(String currentServer) {
        Set<String> excluded = new HashSet<>(mTriedServers);
        excluded.add(currentServer);
        return serverRequest(excluded);
    }

    private ServerRequest serverRequest(Set<String> excluded) {
        return new ServerRequest(
                mHead.id(),
                mTarget,
                crashSubjects(),
                sharedPromptParts(),
                sessionPrefix(),
                Set.copyOf(excluded));
    }

    /**
     * Returns how long the call may wait for a server; a begun stream as long as its caller does.
     *
     * @param minRunTime minimum time that a response takes
     */
    WaitBounds waitBounds(Duration minRunTime) {
        long maxWaitEndNanos =
                mLastEventNanos
                        .map(lastEvent -> lastEvent + mRoute.callerTimeout().toNanos())
                        .orElseGet(() -> arrivedNanos() + maxWaitForFirstServer().toNanos());
        return new WaitBounds(
                priority(),
                arrivedNanos() + mRoute.objective().toNanos(),
                Math.min(mDeadlineNanos, maxWaitEndNanos) - minRunTime.toNanos(),
                mLastEventNanos.isPresent(),
                profile());
    }

    private CallProfile profile() {
        return new CallProfile(
                mRoute.name(),
                mPolicy.map(policy -> policy.workspace().name()).orElse(""),
                mHead.declaredTokens().orElse(0),
                mFingerprint);
    }

    /** Without a model to wait for, the call is refused early; its caller can try another host. */
    private Duration maxWaitForFirstServer() {
        return mTarget.model().isEmpty() ? mRoute.objective() : mRoute.callerTimeout();
    }

    /** Records that the caller gets an event, from which on its time to wait counts again. */
    void recordEvent(long nowNanos) {
        mLastEventNanos = Optional.of(nowNanos);
    }

    /**
     * Records that the call is sent to a server.
     *
     * @return number of the send, from 1
     */
    int recordSend(String instance) {
        mLastServer = instance;
        mSendInProgress = true;
        mAnsweringServers.remove(instance);
        mTurnedAwayBy.remove(instance);
        mUsage.recordSend(instance);
        return ++mSendCount;
    }

    /** Records which server processes the call after one of two runs has ended. */
    void recordServer(String instance) {
        mLastServer = instance;
    }

    /**
     * Records that the server has sent part of its answer to the last send to it.
     *
     * @return whether it is the first part
     */
    boolean recordAnswerBegun(String instance) {
        return mAnsweringServers.add(instance);
    }

    /** Returns whether the server has sent part of its answer to the last send to it. */
    boolean hasAnswerBegun(String instance) {
        return mAnsweringServers.contains(instance);
    }

    /** Records that the server answered the last send by asking for a pause. */
    void recordTurnedAway(String instance) {
        mTurnedAwayBy.add(instance);
    }

    /** Returns whether the server answered the last send by asking for a pause. */
    boolean wasTurnedAwayBy(String instance) {
        return mTurnedAwayBy.contains(instance);
    }

    /** Records that the send failed, so that no server is processing the call. */
    void recordSendFailed(String instance, Throwable error) {
        mSendInProgress = false;
        boolean mayHaveRun =
                error instanceof SendFailedException failure
                        && failure.kind() == SendFailureKind.UNKNOWN;
        mUsage.recordSendFailed(instance, mayHaveRun);
    }

    /** Returns whether the call has been sent to a server and the send has not failed. */
    boolean isSendInProgress() {
        return mSendInProgress;
    }

    /** Returns whether a retry is reserved in the budget that has not been sent. */
    boolean isRetryReserved() {
        return mRetryReserved;
    }

    void setRetryReserved(boolean retryReserved) {
        mRetryReserved = retryReserved;
    }

    /** Records that the budget refused a retry; returns whether it is the first one refused. */
    boolean recordRetryRefused() {
        boolean first = !mRetryRefused;
        mRetryRefused = true;
        return first;
    }

    /** Records that the caller no longer waits for the response. */
    void recordCallerDisconnected() {
        mCallerDisconnected = true;
    }

    boolean callerDisconnected() {
        return mCallerDisconnected;
    }

    /** Records that a send was cancelled, whose server may have run the call. */
    void recordCancelledSend(String instance) {
        mPossiblyRun = true;
        mUsage.recordCancelled(instance);
    }

    /**
     * Records that a standby run without any event was cancelled. It limits further standby runs,
     * but takes no attempt from the stream that goes on.
     */
    void recordCancelledStandby() {
        mCancelledStandbys++;
        mPossiblyRun = true;
    }

    /** Records that a server may have run the call, as one of the runs that its route allows. */
    void recordPossibleRun() {
        mPossibleRuns++;
        mPossiblyRun = true;
    }

    /**
     * Returns whether a server may have run the call, so that it must not be reported as not run.
     */
    boolean mayHaveRun() {
        return mPossiblyRun;
    }

    /** Returns whether another server may run the call although an earlier one may have. */
    boolean allowsAnotherRun() {
        return mRoute.repeatable() && mRoute.attempts() > mPossibleRuns + 1;
    }

    /** Returns whether another server may run the call while an earlier one is silent. */
    boolean allowsStandby() {
        return !mCallerDisconnected
                && mRoute.repeatable()
                && mRoute.attempts() > mPossibleRuns + mCancelledStandbys + 1
                && mSendCount < MAX_SENDS;
    }

    /** Returns whether the call may be retried after the failure. */
    boolean mayRetryAfter(SendFailureKind kind) {
        if (mSendCount >= MAX_SENDS) {
            return false;
        }
        return kind != SendFailureKind.UNKNOWN
                || (mRoute.repeatable() && mPossibleRuns < Math.max(1, mRoute.attempts()));
    }
}
