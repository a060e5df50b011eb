package org.vanillaslip.internal.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class WorkspaceChargeTest {

    /** Guards against a call that is refunded when it is refused and when its caller leaves. */
    @Test
    void aChargeIsRefundedOnce() {
        AtomicInteger refunds = new AtomicInteger();
        WorkspaceCharge charge = new WorkspaceCharge(refunds::incrementAndGet);
        charge.refund();
        charge.refund();

        assertThat(refunds).hasValue(1);
    }
}
