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

/** Waits for a backend server, forwards the request and retries within the retry budget. */
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

    /** Runs the work on a replica that the dispatcher chooses. */
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
                    ForwardingTask<T> task =
                            new ForwardingTask<>(request, target, tokens, prefixHash, work);
                    return tryOnce(task, new HashSet<>());
                });
    }

    private <T> Flux<T> tryOnce(ForwardingTask<T> task, Set<String> triedServers) {
        CallerRequest request = task.request();
        DispatchEntry entry = createDispatchEntry(task, triedServers);
        return request.metrics()
                .timeQueueWait(mDispatcher.enqueue(entry))
                .flatMapMany(
                        replica ->
                                request.sendState().tryBeginSend()
                                        ? task.work().apply(replica)
                                        : Flux.error(request.notSentException()))
                .doFinally(signal -> mDispatcher.close(entry))
                .onErrorResume(
                        ForwardException.class,
                        failure -> retryOrFail(task, triedServers, entry, failure));
    }

    private <T> Flux<T> retryOrFail(
            ForwardingTask<T> task,
            Set<String> triedServers,
            DispatchEntry entry,
            ForwardException failure) {
        RequestSendState sendState = task.request().sendState();
        if (failure.kind() == ForwardFailureKind.NOT_SENT) {
            sendState.recordConnectFailure();
        }
        boolean safeToRepeat =
                failure.kind() == ForwardFailureKind.NOT_SENT
                        || task.request().route().repeatable();
        if (!safeToRepeat || failure.responseStarted() || !tryAcquireRetry()) {
            return Flux.error(failure);
        }
        mLog.log(
                RequestEvent.REQUEST_RETRIED,
                LogField.field("request", task.request().id()),
                LogField.field("cause", failure.kind()));
        Replica replica = entry.mGrantedReplica;
        Set<String> nextTriedServers = new HashSet<>(triedServers);
        if (replica != null) {
            nextTriedServers.add(replica.server().name());
        }
        boolean untriedServerExists =
                task.target().replicas().get().stream()
                        .anyMatch(
                                candidate -> !nextTriedServers.contains(candidate.server().name()));
        return tryOnce(task, untriedServerExists ? nextTriedServers : Set.of());
    }

    private boolean tryAcquireRetry() {
        synchronized (mRetryBudget) {
            return mRetryBudget.tryAcquire(mLoop.clock().nowNanos());
        }
    }

    private <T> DispatchEntry createDispatchEntry(
            ForwardingTask<T> task, Set<String> triedServers) {
        CallerRequest request = task.request();
        WaitingRequest waitingRequest =
                new WaitingRequest(
                        request.id(),
                        task.target().name(),
                        request.caller(),
                        request.route().requestClass(),
                        task.tokens(),
                        request.body().length,
                        request.deadlineNanos());
        return new DispatchEntry(
                waitingRequest,
                task.target(),
                task.prefixHash(),
                triedServers,
                configuration -> revalidate(task, configuration));
    }

    private static Optional<Refusal> revalidate(
            ForwardingTask<?> task, Configuration configuration) {
        CallerRequest request = task.request();
        if (!KeyCheck.stillValid(configuration, request.caller())) {
            return Optional.of(Refusal.of(ResultCode.UNKNOWN_KEY, "key"));
        }
        if (!configuration.routes().containsKey(request.route().name())) {
            return Optional.of(Refusal.of(ResultCode.UNKNOWN_ROUTE, request.route().name()));
        }
        return task.target().revalidate().apply(configuration);
    }

    private record ForwardingTask<T>(
            CallerRequest request,
            Target target,
            long tokens,
            OptionalLong prefixHash,
            Function<Replica, Publisher<T>> work) {}
}
