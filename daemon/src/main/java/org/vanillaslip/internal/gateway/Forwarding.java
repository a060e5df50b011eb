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
final class Forwarding {

    private final DecisionLoop mLoop;
    private final Dispatcher mDispatcher;
    private final EventLog mLog;
    private final RetryBudget mBudget = new RetryBudget();

    Forwarding(DecisionLoop loop, Dispatcher dispatcher, EventLog log) {
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
                    synchronized (mBudget) {
                        mBudget.recordRequest(mLoop.clock().nowNanos());
                    }
                    Job<T> job = new Job<>(request, target, tokens, prefixHash, work);
                    return tryOnce(job, new HashSet<>());
                });
    }

    private <T> Flux<T> tryOnce(Job<T> job, Set<String> tried) {
        CallerRequest request = job.request();
        Ticket ticket = ticket(job, tried);
        return request.meter()
                .queued(mDispatcher.enter(ticket))
                .flatMapMany(
                        replica ->
                                request.trace().begin()
                                        ? job.work().apply(replica)
                                        : Flux.error(request.abandoned()))
                .doFinally(signal -> mDispatcher.close(ticket))
                .onErrorResume(
                        ForwardException.class,
                        failure -> retryOrFail(job, tried, ticket, failure));
    }

    private <T> Flux<T> retryOrFail(
            Job<T> job, Set<String> tried, Ticket ticket, ForwardException failure) {
        RequestTrace trace = job.request().trace();
        if (failure.kind() == ForwardFailureKind.NOT_SENT) {
            trace.connectFailed();
        }
        boolean harmless =
                failure.kind() == ForwardFailureKind.NOT_SENT || job.request().route().repeatable();
        if (!harmless || failure.responseStarted() || !takeRetry()) {
            return Flux.error(failure);
        }
        mLog.log(
                RequestEvent.REQUEST_RETRIED,
                LogField.field("request", job.request().id()),
                LogField.field("cause", failure.kind()));
        Replica replica = ticket.mReplica;
        Set<String> next = new HashSet<>(tried);
        if (replica != null) {
            next.add(replica.server().name());
        }
        boolean another =
                job.target().replicas().get().stream()
                        .anyMatch(other -> !next.contains(other.server().name()));
        return tryOnce(job, another ? next : Set.of());
    }

    private boolean takeRetry() {
        synchronized (mBudget) {
            return mBudget.tryAcquire(mLoop.clock().nowNanos());
        }
    }

    private <T> Ticket ticket(Job<T> job, Set<String> tried) {
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
        return new Ticket(
                waiting,
                job.target(),
                job.prefixHash(),
                tried,
                configuration -> recheck(job, configuration));
    }

    private static Optional<Refusal> recheck(Job<?> job, Configuration configuration) {
        CallerRequest request = job.request();
        if (!KeyCheck.stillValid(configuration, request.caller())) {
            return Optional.of(Refusal.of(ResultCode.UNKNOWN_KEY, "key"));
        }
        if (!configuration.routes().containsKey(request.route().name())) {
            return Optional.of(Refusal.of(ResultCode.UNKNOWN_ROUTE, request.route().name()));
        }
        return job.target().recheck().apply(configuration);
    }

    private record Job<T>(
            CallerRequest request,
            Target target,
            long tokens,
            OptionalLong prefixHash,
            Function<Replica, Publisher<T>> work) {}
}
