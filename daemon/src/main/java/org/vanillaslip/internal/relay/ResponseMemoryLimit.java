package org.vanillaslip.internal.relay;

import java.io.ByteArrayOutputStream;
import java.util.function.Supplier;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Bounds what all calls together hold of answers that are not complete, so that servers that send
 * without an end cannot end the process. Used on the event loop only.
 */
final class ResponseMemoryLimit {

    private final long mMaxBytes;
    private long mReservedBytes;

    /** Creates a memory that holds nothing. */
    ResponseMemoryLimit(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Returns the bytes that are held now. */
    long reservedBytes() {
        return mReservedBytes;
    }

    /**
     * Collects an answer, or ends with the error when it is larger than the bound or when all calls
     * hold too much.
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

    /** Returns the place of one event that is not complete. */
    Reservation newReservation() {
        return new Reservation();
    }

    /** What one call holds. */
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

        /** Takes over how much the call holds; returns false when all hold too much. */
        boolean resize(long bytes) {
            if (bytes > mReserved && mReservedBytes + bytes - mReserved > mMaxBytes) {
                return false;
            }
            mReservedBytes += bytes - mReserved;
            mReserved = bytes;
            return true;
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
