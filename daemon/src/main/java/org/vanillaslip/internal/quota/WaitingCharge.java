package org.vanillaslip.internal.quota;

import io.vavr.control.Either;
import org.vanillaslip.Refusal;
import org.vanillaslip.Workspace;
import org.vanillaslip.internal.gateway.QuotaCharge;
import reactor.core.publisher.MonoSink;

/** A charge that waits for borrowed tokens. */
record WaitingCharge(
        Workspace workspace,
        long tokens,
        long deadline,
        MonoSink<Either<Refusal, QuotaCharge>> sink) {

    /** Returns the charge in micro-tokens. */
    long amount() {
        return tokens * QuotaLimit.MICRO;
    }
}
