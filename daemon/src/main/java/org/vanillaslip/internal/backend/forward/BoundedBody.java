package org.vanillaslip.internal.backend.forward;

import java.io.ByteArrayOutputStream;
import java.util.function.Supplier;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Collects a body up to a maximum size. */
public final class BoundedBody {

    private BoundedBody() {}

    /** Returns all chunks as one array, or signals the given error above the maximum size. */
    public static Mono<byte[]> collect(
            Flux<byte[]> chunks, int maxBytes, Supplier<? extends RuntimeException> tooLarge) {
        return chunks.collect(
                        ByteArrayOutputStream::new,
                        (body, chunk) -> {
                            if (body.size() + chunk.length > maxBytes) {
                                throw tooLarge.get();
                            }
                            body.writeBytes(chunk);
                        })
                .map(ByteArrayOutputStream::toByteArray);
    }
}
