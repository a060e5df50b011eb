package org.vanillaslip.internal.gateway;

import io.vavr.control.Either;
import java.time.Duration;
import org.vanillaslip.Refusal;
import org.vanillaslip.Workspace;
import reactor.core.publisher.Mono;

/** Charges requests against the rate and burst of their workspace, shared by all hosts. */
public interface WorkspaceQuotas {

    /** Charges the estimate, waiting at most the given time for tokens from other hosts. */
    Mono<Either<Refusal, QuotaCharge>> charge(Workspace workspace, long tokens, Duration wait);

    /** Settles the charge with the tokens that the request used. */
    void settle(QuotaCharge charge, long usedTokens);
}
