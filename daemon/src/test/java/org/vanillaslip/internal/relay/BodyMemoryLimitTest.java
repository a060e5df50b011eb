package org.vanillaslip.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/**
 * Guards against heap exhaustion by many concurrent responses, each of which is within its own
 * limit.
 */
class BodyMemoryLimitTest {

    private static final int MAX_RESPONSE_BYTES = 1000;
    private static final long MAX_BYTES = 5000;

    private final BodyMemoryLimit mMemoryLimit = new BodyMemoryLimit(MAX_BYTES);

    @Test
    void refusesResponsesThatTogetherExceedTheLimitThoughEachIsWithinItsOwn() {
        List<Sinks.Many<byte[]>> servers = new ArrayList<>();
        List<String> failed = new ArrayList<>();
        for (int call = 0; call < 10; call++) {
            Sinks.Many<byte[]> server = Sinks.many().unicast().onBackpressureBuffer();
            servers.add(server);
            collect(server.asFlux(), failed);
        }
        servers.forEach(server -> server.tryEmitNext(new byte[900]));

        assertThat(mMemoryLimit.reservedBytes()).isLessThanOrEqualTo(MAX_BYTES);
        assertThat(failed).hasSize(5);
    }

    @Test
    void aCompletedResponseReleasesItsMemory() {
        List<String> failed = new ArrayList<>();
        for (int call = 0; call < 20; call++) {
            collect(Flux.just(new byte[500], new byte[400]), failed);
        }

        assertThat(failed).isEmpty();
        assertThat(mMemoryLimit.reservedBytes()).isZero();
    }

    /** Guards against bodies that slow callers keep in memory and no limit counts. */
    @Test
    void responsesThatAreNotWrittenYetCountAgainstTheLimit() {
        List<String> failed = new ArrayList<>();
        BodyMemoryLimit.Reservation unwritten = mMemoryLimit.newReservation();
        unwritten.hold(MAX_BYTES + 100);
        collect(Flux.just(new byte[100]), failed);
        assertThat(failed).hasSize(1);
        unwritten.release();
        collect(Flux.just(new byte[100]), failed);

        assertThat(failed).hasSize(1);
        assertThat(mMemoryLimit.reservedBytes()).isZero();
    }

    @Test
    void aCancelledCallReleasesItsMemory() {
        Sinks.Many<byte[]> server = Sinks.many().unicast().onBackpressureBuffer();
        Disposable call = collect(server.asFlux(), new ArrayList<>());
        server.tryEmitNext(new byte[800]);
        assertThat(mMemoryLimit.reservedBytes()).isEqualTo(800);
        call.dispose();

        assertThat(mMemoryLimit.reservedBytes()).isZero();
    }

    @Test
    void refusesAResponseThatExceedsItsOwnLimit() {
        List<String> failed = new ArrayList<>();
        collect(Flux.just(new byte[MAX_RESPONSE_BYTES], new byte[1]), failed);

        assertThat(failed).hasSize(1);
        assertThat(mMemoryLimit.reservedBytes()).isZero();
    }

    private Disposable collect(Flux<byte[]> parts, List<String> failed) {
        return mMemoryLimit
                .collect(parts, MAX_RESPONSE_BYTES, () -> new IllegalStateException("too large"))
                .subscribe(bytes -> {}, error -> failed.add(String.valueOf(error.getMessage())));
    }
}
