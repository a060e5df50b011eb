package org.vanillaslip.internal.gateway;

import io.vavr.control.Either;
import java.time.Duration;
import org.vanillaslip.Refusal;
import org.vanillaslip.Workspace;
import reactor.core.publisher.Mono;

/** Charges requests to the rate and burst of their workspace over all hosts. */
public interface WorkspaceQuotas {

    /** Charges the estimate, borrowing from other hosts for at most the given time. */
    Mono<Either<Refusal, QuotaCharge>> charge(Workspace workspace, long tokens, Duration wait);

    /** Corrects the charge to the tokens that the engine reported. */
    void settle(QuotaCharge charge, long usedTokens);
}
