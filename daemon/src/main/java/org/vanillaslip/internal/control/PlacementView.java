package org.vanillaslip.internal.control;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.vanillaslip.ModelName;
import org.vanillaslip.Refusal;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The loaded replicas that this host can use, with the loads of their servers, and requests to load
 * further models.
 */
public interface PlacementView {

    /**
     * Returns the loaded replicas of the model in this failure domain, and those in other failure
     * domains that accepted an activation of it.
     */
    List<Replica> replicas(ModelName model);

    /**
     * Requests a replica of the model and returns the expected time until it is loaded. Concurrent
     * callers for one model share one activation.
     */
    Mono<Either<Refusal, Duration>> activate(ModelName model, Duration wait);

    /** Withdraws this host's activation of the model because no request waits for it any more. */
    void withdraw(ModelName model);

    /**
     * Records the arrival of a request for the model, on which the keep-alive decision is based.
     */
    void recordArrival(ModelName model);

    /** Emits the name of each model whose replicas changed, on the decision loop. */
    Flux<ModelName> changes();

    /** Returns the last load report of a server. */
    Optional<ServerLoad> load(String server);

    /** Returns the host that holds the lease of the control shard, if it is known. */
    Optional<String> holder(String shard);
}
