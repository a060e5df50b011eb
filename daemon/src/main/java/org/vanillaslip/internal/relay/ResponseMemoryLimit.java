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

    private final long mMostBytes;
    private long mHeldBytes;

    /** Creates a memory that holds nothing. */
    ResponseMemoryLimit(long mostBytes) {
        mMostBytes = mostBytes;
    }

    /** Returns the bytes that are held now. */
    long heldBytes() {
        return mHeldBytes;
    }

    /**
     * Collects an answer, or ends with the error when it is larger than the bound or when all calls
     * hold too much.
     */
    Mono<byte[]> collect(
            Flux<byte[]> parts, int bound, Supplier<? extends RuntimeException> tooLarge) {
        return Mono.using(
                HeldBytes::new,
                held ->
                        parts.collect(
                                        () -> held,
                                        (body, part) -> {
                                            if (!body.add(part, bound)) {
                                                throw tooLarge.get();
                                            }
                                        })
                                .map(HeldBytes::bytes),
                HeldBytes::release);
    }

    /** Returns the place of one event that is not complete. */
    HeldBytes hold() {
        return new HeldBytes();
    }

    /** What one call holds. */
    final class HeldBytes {
        private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
        private long mReserved;

        private boolean add(byte[] part, int bound) {
            if (mBytes.size() + part.length > bound || !resize(mBytes.size() + part.length)) {
                return false;
            }
            mBytes.writeBytes(part);
            return true;
        }

        /** Takes over how much the call holds; returns false when all hold too much. */
        boolean resize(long bytes) {
            if (bytes > mReserved && mHeldBytes + bytes - mReserved > mMostBytes) {
                return false;
            }
            mHeldBytes += bytes - mReserved;
            mReserved = bytes;
            return true;
        }

        void release() {
            mHeldBytes -= mReserved;
            mReserved = 0;
        }

        private byte[] bytes() {
            return mBytes.toByteArray();
        }
    }
}
