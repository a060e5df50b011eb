package org.vanillaslip.internal.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.Supplier;
import org.reactivestreams.Publisher;
import org.vanillaslip.Configuration;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.admission.Caller;
import org.vanillaslip.internal.admission.KeyCheck;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** The requests of this host from admission to their last byte. */
final class RunningRequests {

    private final Map<String, Entry> mEntries = new ConcurrentHashMap<>();

    /** Counts the work until it ends and ends it early with a refusal when told so. */
    <T> Flux<T> track(String requestId, Caller caller, Supplier<Publisher<T>> work) {
        return Flux.defer(
                () -> {
                    Entry entry = new Entry(caller, Sinks.one());
                    mEntries.put(requestId, entry);
                    Mono<Refusal> abort =
                            entry.abort()
                                    .asMono()
                                    .flatMap(refusal -> Mono.error(new RefusedException(refusal)));
                    return Flux.from(work.get())
                            .takeUntilOther(abort)
                            .doFinally(signal -> mEntries.remove(requestId, entry));
                });
    }

    /** Ends the requests whose key is no longer valid. */
    void onConfiguration(Configuration configuration) {
        abortIf(
                caller -> !KeyCheck.stillValid(configuration, caller),
                Refusal.of(ResultCode.KEY_WITHDRAWN, "key"));
    }

    /** Ends all requests, at the end of the time for a planned stop. */
    void abortAll(Refusal refusal) {
        abortIf(caller -> true, refusal);
    }

    int size() {
        return mEntries.size();
    }

    private void abortIf(Function<Caller, Boolean> condition, Refusal refusal) {
        mEntries.values().stream()
                .filter(entry -> condition.apply(entry.caller()))
                .forEach(entry -> entry.abort().tryEmitValue(refusal));
    }

    private record Entry(Caller caller, Sinks.One<Refusal> abort) {}
}
