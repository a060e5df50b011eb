package org.vanillaslip.internal.placement;

import io.vavr.collection.List;
import io.vavr.control.Option;

/**
 * Calls to the platform that a host has open for one shard object.
 *
 * @param inFlightWrite the write without answer
 * @param unansweredWrites writes whose answers were lost and which may still take effect
 * @param readPending whether a read is open
 * @param nextCallNanos no call is made before this time
 */
public record PendingCalls(
        Option<PendingWrite> inFlightWrite,
        List<PendingWrite> unansweredWrites,
        boolean readPending,
        long nextCallNanos) {

    /** Returns a state without open calls. */
    static PendingCalls none(long nowNanos) {
        return new PendingCalls(Option.none(), List.empty(), false, nowNanos);
    }

    /** Returns whether a new call may be made. */
    boolean allowsCallAt(long nowNanos) {
        return inFlightWrite.isEmpty() && !readPending && nowNanos >= nextCallNanos;
    }

    /** Returns the write that stored the given nonce. */
    Option<PendingWrite> findWrite(String nonce) {
        return inFlightWrite
                .toList()
                .appendAll(unansweredWrites)
                .find(write -> write.nonce().equals(nonce));
    }

    /** Returns the writes that may take effect or may have taken effect. */
    List<PendingWrite> unresolvedWrites() {
        return unansweredWrites.appendAll(inFlightWrite);
    }

    PendingCalls withWrite(PendingWrite write) {
        return new PendingCalls(Option.of(write), unansweredWrites, false, nextCallNanos);
    }

    /** Keeps the write as lost until a newer version shows that it cannot take effect. */
    PendingCalls withAnswerLost() {
        return new PendingCalls(
                Option.none(), unansweredWrites.appendAll(inFlightWrite), false, nextCallNanos);
    }

    PendingCalls withNextCallAt(long nextNanos) {
        return new PendingCalls(Option.none(), unansweredWrites, false, nextNanos);
    }

    PendingCalls withRead() {
        return new PendingCalls(inFlightWrite, unansweredWrites, true, nextCallNanos);
    }

    /** Drops lost writes that expected a version which no longer is the current one. */
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
