package org.vanillaslip.internal.relay;

import org.vanillaslip.Refusal;
import org.vanillaslip.ResultCode;
import org.vanillaslip.internal.gateway.RefusedException;

/** Refusals that say truly whether a server may have run the call. */
final class CallOutcomes {

    private CallOutcomes() {}

    static RefusedException interruptionRefusal(RelayCall call) {
        boolean sent = call.mayHaveRun() || call.sendCount() > 0;
        ResultCode code = sent ? ResultCode.BACKEND_FAILED : ResultCode.HOST_STOPPING;
        return new RefusedException(Refusal.of(code, "this host is stopping"));
    }

    /** A refusal while the call waits for another server does not undo its earlier sends. */
    static Throwable withTrueOutcome(RelayCall call, Throwable error) {
        if (call.mayHaveRun()
                && error instanceof RefusedException refused
                && refused.refusal().code().notRun()) {
            Refusal refusal = refused.refusal();
            String detail = (refusal.code() + " " + refusal.detail()).strip();
            return new RefusedException(
                    new Refusal(ResultCode.BACKEND_FAILED, detail, refusal.retryAfter()));
        }
        return error;
    }

    static RefusedException deadlineRefusal(RelayCall call) {
        boolean sent = call.mayHaveRun() || call.sendCount() > 0;
        ResultCode code = sent ? ResultCode.DEADLINE_EXPIRED : ResultCode.DEADLINE_UNREACHABLE;
        return new RefusedException(Refusal.of(code, call.route().name()));
    }
}
