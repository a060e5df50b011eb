package org.vanillaslip.internal.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import org.vanillaslip.Configuration;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.admission.KeyCheck;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** The requests of this host, from admission until the last byte of the response. */
final class RunningRequests {

    private final Map<String, RunningRequest> mRequestsById = new ConcurrentHashMap<>();

    /** Tracks the work until it ends. An abort ends it early with a refusal. */
    <T> Flux<T> track(CallerRequest request, Supplier<Publisher<T>> work) {
        return Flux.defer(
                () -> {
                    RunningRequest running = new RunningRequest(request, Sinks.one());
                    mRequestsById.put(request.id(), running);
                    AtomicReference<Refusal> aborted = new AtomicReference<>();
                    Mono<Refusal> abort = running.abort().asMono().doOnNext(aborted::set);
                    // The abort is a value, because an error of takeUntilOther would not cancel the
                    // work.
                    return Flux.from(work.get())
                            .takeUntilOther(abort)
                            .concatWith(Mono.defer(() -> errorIfAborted(aborted.get())))
                            .doFinally(signal -> mRequestsById.remove(request.id(), running));
                });
    }

    /** Aborts the requests whose key is no longer valid. */
    void onConfiguration(Configuration configuration) {
        abortIf(
                request -> !KeyCheck.stillValid(configuration, request.caller()),
                request ->
                        Refusal.of(
                                request.sendState().tryForbidSending()
                                        ? ResultCode.UNKNOWN_KEY
                                        : ResultCode.KEY_WITHDRAWN,
                                "key"));
    }

    /** Aborts all requests when the shutdown timeout expires. */
    void abortAll(Refusal refusal) {
        abortIf(request -> true, request -> refusal);
    }

    int size() {
        return mRequestsById.size();
    }

    private static <T> Mono<T> errorIfAborted(@Nullable Refusal refusal) {
        return refusal == null ? Mono.empty() : Mono.error(new RefusedException(refusal));
    }

    private void abortIf(
            Predicate<CallerRequest> condition, Function<CallerRequest, Refusal> refusal) {
        mRequestsById.values().stream()
                .filter(running -> condition.test(running.request()))
                .forEach(running -> running.abort().tryEmitValue(refusal.apply(running.request())));
    }

    private record RunningRequest(CallerRequest request, Sinks.One<Refusal> abort) {}
}
