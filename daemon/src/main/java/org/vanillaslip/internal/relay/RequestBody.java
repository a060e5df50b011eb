package org.vanillaslip.internal.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.gateway.RefusedException;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/**
 * The body of a call while it is read. A call that does not fit into the memory of all calls is
 * read to its end without being kept, so that the caller gets the refusal.
 */
final class RequestBody {

    /** Most large bodies are held for the duration of a stream. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    /** First size of the buffer of a body whose length the caller does not state. */
    private static final int INITIAL_BYTES = 4096;

    /** Objects that hold the name and the value of one header. */
    private static final int HEADER_OVERHEAD_BYTES = 150;

    private final BodyMemoryLimit.Reservation mMemory;
    private final int mHeadBytes;
    private final int mMaxBytes;
    private byte[] mBytes = new byte[0];
    private int mSize;
    private boolean mDiscarded;

    private RequestBody(BodyMemoryLimit.Reservation memory, int headBytes, int maxBytes) {
        mMemory = memory;
        mHeadBytes = headBytes;
        mMaxBytes = maxBytes;
        mDiscarded = !memory.resize(headBytes);
    }

    /**
     * Reads the body of a request, or signals {@link RefusedException}.
     *
     * @param memory reservation that is to be released when the call has ended
     * @param digest gets the chunks as they arrive
     */
    static Mono<byte[]> read(
            HttpServerRequest request,
            BodyMemoryLimit.Reservation memory,
            int maxBytes,
            BodyDigest digest) {
        int statedBytes =
                request.requestHeaders().getInt(HttpHeaderNames.CONTENT_LENGTH, INITIAL_BYTES);
        return request.receive()
                .asByteArray()
                .doOnNext(digest::add)
                .collect(
                        () -> new RequestBody(memory, headBytes(request), maxBytes),
                        (body, chunk) -> body.add(chunk, statedBytes))
                .map(RequestBody::bytes);
    }

    /** Returns about as many bytes as the head takes while its call is active. */
    private static int headBytes(HttpServerRequest request) {
        int bytes = request.uri().length();
        for (Map.Entry<String, String> header : request.requestHeaders()) {
            bytes += header.getKey().length() + header.getValue().length() + HEADER_OVERHEAD_BYTES;
        }
        return bytes;
    }

    private void add(byte[] chunk, int statedBytes) {
        int size = mSize + chunk.length;
        if (size > mMaxBytes) {
            throw new RefusedException(
                    Refusal.of(ResultCode.BODY_TOO_LARGE, "at most " + mMaxBytes + " bytes"));
        }
        if (!mDiscarded && size > mBytes.length) {
            grow(Math.max(size, mSize == 0 ? statedBytes : 2 * mBytes.length));
        }
        if (!mDiscarded) {
            System.arraycopy(chunk, 0, mBytes, mSize, chunk.length);
        }
        mSize = size;
    }

    private void grow(int capacity) {
        int bounded = Math.min(capacity, mMaxBytes);
        mDiscarded = !mMemory.resize((long) mHeadBytes + bounded);
        if (mDiscarded) {
            mMemory.release();
        }
        mBytes = mDiscarded ? new byte[0] : Arrays.copyOf(mBytes, bounded);
    }

    private byte[] bytes() {
        if (mDiscarded) {
            throw new RefusedException(
                    Refusal.retryable(
                            ResultCode.BODIES_EXCEED_MEMORY, mSize + " bytes", RETRY_AFTER));
        }
        return mSize == mBytes.length ? mBytes : Arrays.copyOf(mBytes, mSize);
    }
}
