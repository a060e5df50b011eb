package org.vanillaslip.internal.control;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.vanillaslip.ModelName;
import org.vanillaslip.Refusal;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** What is loaded in this failure domain, and how to have more loaded. */
public interface PlacementView {

    /** Returns the loaded replicas of the model in this failure domain. */
    List<Replica> replicas(ModelName model);

    /**
     * Asks for a replica to be loaded and returns the expected wait until it is. All callers for
     * one model share one activation.
     */
    Mono<Either<Refusal, Duration>> activate(ModelName model, Duration wait);

    /** Ends the wait for the model on this host: no request waits for it any more. */
    void withdraw(ModelName model);

    /** Records an arrival for the keep-alive decision. */
    void recordArrival(ModelName model);

    /** Emits the model names whose replicas changed, on the decision loop. */
    Flux<ModelName> changes();

    /** Returns the last load report of a server. */
    Optional<ServerLoad> load(String server);

    /** Returns the host that holds the lease of the control shard, if known. */
    Optional<String> holder(String shard);
}
