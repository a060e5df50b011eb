package org.vanillaslip.internal.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import org.reactivestreams.Publisher;
import org.vanillaslip.Configuration;
import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.admission.KeyCheck;
import org.vanillaslip.internal.backend.forward.ForwardException;
import org.vanillaslip.internal.backend.forward.ForwardFailureKind;
import org.vanillaslip.internal.control.Replica;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.logging.LogField;
import org.vanillaslip.internal.queue.WaitingRequest;
import org.vanillaslip.internal.routing.RetryBudget;
import org.vanillaslip.internal.runtime.DecisionLoop;
import reactor.core.publisher.Flux;

/** Waits for a backend server, forwards, and repeats within the retry budget. */
final class RetryingForwarder {

    private final DecisionLoop mLoop;
    private final Dispatcher mDispatcher;
    private final EventLog mLog;
    private final RetryBudget mRetryBudget = new RetryBudget();

    RetryingForwarder(DecisionLoop loop, Dispatcher dispatcher, EventLog log) {
        mLoop = loop;
        mDispatcher = dispatcher;
        mLog = log;
    }

    /** Runs the work on a chosen replica. */
    <T> Flux<T> run(
            CallerRequest request,
            Target target,
            long tokens,
            OptionalLong prefixHash,
            Function<Replica, Publisher<T>> work) {
        return Flux.defer(
                () -> {
                    synchronized (mRetryBudget) {
                        mRetryBudget.recordRequest(mLoop.clock().nowNanos());
                    }
                    ForwardingTask<T> job =
                            new ForwardingTask<>(request, target, tokens, prefixHash, work);
                    return tryOnce(job, new HashSet<>());
                });
    }

    private <T> Flux<T> tryOnce(ForwardingTask<T> job, Set<String> tried) {
        CallerRequest request = job.request();
        DispatchEntry ticket = createEntry(job, tried);
        return request.metrics()
                .timeQueueWait(mDispatcher.enqueue(ticket))
                .flatMapMany(
                        replica ->
                                request.sendState().tryBeginSend()
                                        ? job.work().apply(replica)
                                        : Flux.error(request.notSentException()))
                .doFinally(signal -> mDispatcher.close(ticket))
                .onErrorResume(
                        ForwardException.class,
                        failure -> retryOrFail(job, tried, ticket, failure));
    }

    private <T> Flux<T> retryOrFail(
            ForwardingTask<T> job,
            Set<String> tried,
            DispatchEntry ticket,
            ForwardException failure) {
        RequestSendState trace = job.request().sendState();
        if (failure.kind() == ForwardFailureKind.NOT_SENT) {
            trace.recordConnectFailure();
        }
        boolean harmless =
                failure.kind() == ForwardFailureKind.NOT_SENT || job.request().route().repeatable();
        if (!harmless || failure.answerStarted() || !tryAcquireRetry()) {
            return Flux.error(failure);
        }
        mLog.log(
                RequestEvent.REQUEST_RETRIED,
                LogField.field("request", job.request().id()),
                LogField.field("cause", failure.kind()));
        Replica replica = ticket.mGrantedReplica;
        Set<String> next = new HashSet<>(tried);
        if (replica != null) {
            next.add(replica.server().name());
        }
        boolean another =
                job.target().replicas().get().stream()
                        .anyMatch(other -> !next.contains(other.server().name()));
        return tryOnce(job, another ? next : Set.of());
    }

    private boolean tryAcquireRetry() {
        synchronized (mRetryBudget) {
            return mRetryBudget.tryAcquire(mLoop.clock().nowNanos());
        }
    }

    private <T> DispatchEntry createEntry(ForwardingTask<T> job, Set<String> tried) {
        CallerRequest request = job.request();
        WaitingRequest waiting =
                new WaitingRequest(
                        request.id(),
                        job.target().name(),
                        request.caller(),
                        request.route().requestClass(),
                        job.tokens(),
                        request.body().length,
                        request.deadlineNanos());
        return new DispatchEntry(
                waiting,
                job.target(),
                job.prefixHash(),
                tried,
                configuration -> revalidate(job, configuration));
    }

    private static Optional<Refusal> revalidate(
            ForwardingTask<?> job, Configuration configuration) {
        CallerRequest request = job.request();
        if (!KeyCheck.stillValid(configuration, request.caller())) {
            return Optional.of(Refusal.of(ResultCode.UNKNOWN_KEY, "key"));
        }
        if (!configuration.routes().containsKey(request.route().name())) {
            return Optional.of(Refusal.of(ResultCode.UNKNOWN_ROUTE, request.route().name()));
        }
        return job.target().revalidate().apply(configuration);
    }

    private record ForwardingTask<T>(
            CallerRequest request,
            Target target,
            long tokens,
            OptionalLong prefixHash,
            Function<Replica, Publisher<T>> work) {}
}
