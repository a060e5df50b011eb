package org.vanillaslip.internal.quota;

import io.vavr.control.Either;
import org.vanillaslip.Refusal;
import org.vanillaslip.Workspace;
import org.vanillaslip.internal.gateway.QuotaCharge;
import reactor.core.publisher.MonoSink;

/** A charge that waits for refilled or borrowed tokens. */
record WaitingCharge(
        Workspace workspace,
        long tokens,
        long waitDeadlineNanos,
        MonoSink<Either<Refusal, QuotaCharge>> resultSink)
        implements QueueableCharge {

    @Override
    public long amount() {
        return tokens * QuotaLimit.UNITS_PER_TOKEN;
    }
}
