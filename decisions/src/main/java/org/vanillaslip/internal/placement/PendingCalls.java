package org.vanillaslip.internal.placement;

import io.vavr.collection.List;
import io.vavr.control.Option;

/**
 * The pending platform calls of a host for one shard object.
 *
 * @param inFlightWrite the write whose answer has not arrived
 * @param unansweredWrites writes whose answers were lost and that may still take effect
 * @param readPending whether a read is pending
 * @param nextCallNanos earliest time of the next call
 */
public record PendingCalls(
        Option<PendingWrite> inFlightWrite,
        List<PendingWrite> unansweredWrites,
        boolean readPending,
        long nextCallNanos) {

    /** Returns a state without pending calls. */
    static PendingCalls none(long nowNanos) {
        return new PendingCalls(Option.none(), List.empty(), false, nowNanos);
    }

    /** Returns whether a new call may be made. */
    boolean allowsCallAt(long nowNanos) {
        return inFlightWrite.isEmpty() && !readPending && nowNanos >= nextCallNanos;
    }

    /** Returns the unresolved write with the given nonce. */
    Option<PendingWrite> findWrite(String nonce) {
        return inFlightWrite
                .toList()
                .appendAll(unansweredWrites)
                .find(write -> write.nonce().equals(nonce));
    }

    /** Returns the writes that may have taken effect or may still do so. */
    List<PendingWrite> unresolvedWrites() {
        return unansweredWrites.appendAll(inFlightWrite);
    }

    PendingCalls withWrite(PendingWrite write) {
        return new PendingCalls(Option.of(write), unansweredWrites, false, nextCallNanos);
    }

    /**
     * Keeps the write as unanswered until a newer version shows that it cannot take effect any
     * more.
     */
    PendingCalls withAnswerLost() {
        return new PendingCalls(
                Option.none(), unansweredWrites.appendAll(inFlightWrite), false, nextCallNanos);
    }

    PendingCalls withNextCallAt(long newNextCallNanos) {
        return new PendingCalls(Option.none(), unansweredWrites, false, newNextCallNanos);
    }

    PendingCalls withRead() {
        return new PendingCalls(inFlightWrite, unansweredWrites, true, nextCallNanos);
    }

    /** Removes unanswered writes that expect an older version than the given one. */
    PendingCalls withVersionSeen(long version) {
        return new PendingCalls(
                inFlightWrite,
                unansweredWrites.filter(w -> w.expectedVersion() >= version),
                false,
                nextCallNanos);
    }

    PendingCalls withAnswer(long version) {
        return new PendingCalls(Option.none(), unansweredWrites, false, nextCallNanos)
                .withVersionSeen(version);
    }
}
