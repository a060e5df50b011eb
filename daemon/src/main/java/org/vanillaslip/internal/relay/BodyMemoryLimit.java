package org.vanillaslip.internal.relay;

import java.io.ByteArrayOutputStream;
import java.util.function.Supplier;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Limits the total memory of bodies, so that callers and servers that send much cannot exhaust the
 * heap. Used on the event loop only.
 */
final class BodyMemoryLimit {

    private final long mMaxBytes;
    private long mReservedBytes;

    /** Creates a limit without reservations. */
    BodyMemoryLimit(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Returns the bytes that all calls have reserved. */
    long reservedBytes() {
        return mReservedBytes;
    }

    /**
     * Collects a response, or signals the error if the response exceeds its own limit or if all
     * calls together exceed the total limit.
     */
    Mono<byte[]> collect(
            Flux<byte[]> chunks,
            int maxResponseBytes,
            Supplier<? extends RuntimeException> tooLarge) {
        return Mono.using(
                Reservation::new,
                reservation ->
                        chunks.collect(
                                        () -> reservation,
                                        (body, chunk) -> {
                                            if (!body.add(chunk, maxResponseBytes)) {
                                                throw tooLarge.get();
                                            }
                                        })
                                .map(Reservation::bytes),
                Reservation::release);
    }

    /** Returns an empty reservation, for a request or the incomplete event of a stream. */
    Reservation newReservation() {
        return new Reservation();
    }

    /** Memory reserved by one call. */
    final class Reservation {
        private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
        private long mReserved;

        private boolean add(byte[] chunk, int maxResponseBytes) {
            if (mBytes.size() + chunk.length > maxResponseBytes
                    || !resize(mBytes.size() + chunk.length)) {
                return false;
            }
            mBytes.writeBytes(chunk);
            return true;
        }

        /** Sets the reserved size; returns false if that would exceed the total limit. */
        boolean resize(long bytes) {
            if (bytes > mReserved && mReservedBytes + bytes - mReserved > mMaxBytes) {
                return false;
            }
            mReservedBytes += bytes - mReserved;
            mReserved = bytes;
            return true;
        }

        /** Reserves memory that is in use already, even if it exceeds the total limit. */
        void hold(long bytes) {
            mReservedBytes += bytes - mReserved;
            mReserved = bytes;
        }

        void release() {
            mReservedBytes -= mReserved;
            mReserved = 0;
        }

        private byte[] bytes() {
            return mBytes.toByteArray();
        }
    }
}
