package org.vanillaslip.internal.proofs.processes;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against two daemons of one test that are given one port. */
class PortsTest {

    private static final int PORT_REQUESTS = 3000;

    @Test
    void returnsEachPortOnlyOnce() {
        int[] ports =
                IntStream.range(0, PORT_REQUESTS).map(index -> Ports.findFreePort()).toArray();

        assertThat(ports).doesNotHaveDuplicates();
    }

    /** Guards against an outgoing connection that takes a port before its daemon listens. */
    @Test
    void returnsPortOutsideTheRangeOfOutgoingConnections() {
        assertThat(Ports.findFreePort()).isBetween(Ports.FIRST_PORT, Ports.LAST_PORT);
    }
}
