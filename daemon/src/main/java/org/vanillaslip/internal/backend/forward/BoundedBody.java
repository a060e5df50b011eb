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
            Flux<byte[]> parts, int bound, Supplier<? extends RuntimeException> tooLarge) {
        return parts.collect(
                        ByteArrayOutputStream::new,
                        (body, part) -> {
                            if (body.size() + part.length > bound) {
                                throw tooLarge.get();
                            }
                            body.writeBytes(part);
                        })
                .map(ByteArrayOutputStream::toByteArray);
    }
}
