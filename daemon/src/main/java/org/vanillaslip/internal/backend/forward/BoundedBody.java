package org.vanillaslip.internal.backend.forward;

import java.io.ByteArrayOutputStream;
import java.util.function.Supplier;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Collects a body without holding more than a bound. */
public final class BoundedBody {

    private BoundedBody() {}

    /** Returns all parts as one array, or ends with the given error above the bound. */
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
