package org.vanillaslip.internal.proofs.processes;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against assigning the same port to two daemons of a test. */
class PortsTest {

    private static final int PORT_REQUESTS = 3000;

    @Test
    void returnsEachPortOnlyOnce() {
        int[] ports =
                IntStream.range(0, PORT_REQUESTS).map(index -> Ports.findFreePort()).toArray();

        assertThat(ports).doesNotHaveDuplicates();
    }

    /** Guards against an outgoing connection that uses the port before the daemon listens on it. */
    @Test
    void returnsPortOutsideTheRangeOfOutgoingConnections() {
        assertThat(Ports.findFreePort()).isBetween(Ports.FIRST_PORT, Ports.LAST_PORT);
    }
}
