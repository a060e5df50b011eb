package org.vanillaslip.internal.placement;

import io.vavr.collection.List;
import io.vavr.control.Option;

/**
 * Calls to the platform that a host has open for one shard object.
 *
 * @param inFlight the write without answer
 * @param lost writes whose answers were lost and which may still take effect
 * @param reading whether a read is open
 * @param retryNanos no call is made before this time
 */
public record PendingCalls(
        Option<PendingWrite> inFlight, List<PendingWrite> lost, boolean reading, long retryNanos) {

    /** Returns a state without open calls. */
    static PendingCalls idle(long nowNanos) {
        return new PendingCalls(Option.none(), List.empty(), false, nowNanos);
    }

    /** Returns whether a new call may be made. */
    boolean idleAt(long nowNanos) {
        return inFlight.isEmpty() && !reading && nowNanos >= retryNanos;
    }

    /** Returns the write that stored the given nonce. */
    Option<PendingWrite> find(String nonce) {
        return inFlight.toList().appendAll(lost).find(write -> write.nonce().equals(nonce));
    }

    /** Returns the writes that may take effect or may have taken effect. */
    List<PendingWrite> possible() {
        return lost.appendAll(inFlight);
    }

    PendingCalls sending(PendingWrite write) {
        return new PendingCalls(Option.of(write), lost, false, retryNanos);
    }

    /** Keeps the write as lost until a newer version shows that it cannot take effect. */
    PendingCalls answerLost() {
        return new PendingCalls(Option.none(), lost.appendAll(inFlight), false, retryNanos);
    }

    PendingCalls notDone(long nextNanos) {
        return new PendingCalls(Option.none(), lost, false, nextNanos);
    }

    PendingCalls openRead() {
        return new PendingCalls(inFlight, lost, true, retryNanos);
    }

    /** Drops lost writes that expected a version which no longer is the current one. */
    PendingCalls seen(long version) {
        return new PendingCalls(
                inFlight, lost.filter(w -> w.expectedVersion() >= version), false, retryNanos);
    }

    PendingCalls answered(long version) {
        return new PendingCalls(Option.none(), lost, false, retryNanos).seen(version);
    }
}
