package org.vanillaslip.internal.proofs.processes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/** Finds free ports on the loopback interface. */
public final class Ports {

    /** The range ends below 32768, where Linux starts the ports of outgoing connections. */
    static final int FIRST_PORT = 15_000;

    static final int LAST_PORT = 32_000;

    private static final int PORT_COUNT = LAST_PORT - FIRST_PORT + 1;

    /**
     * Distance of the first ports of processes with consecutive ids, so that concurrent test runs
     * do not compete for the same ports.
     */
    private static final long PORTS_BETWEEN_PROCESSES = 997;

    private static final AtomicInteger NEXT_INDEX =
            new AtomicInteger(
                    (int) (ProcessHandle.current().pid() * PORTS_BETWEEN_PROCESSES % PORT_COUNT));

    private Ports() {}

    /**
     * Returns a port that was free at the time of the call. Ports are counted up, because the
     * kernel could assign a port that was bound to port 0 and closed again to another socket.
     */
    public static int findFreePort() {
        for (int tried = 0; tried < PORT_COUNT; tried++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_INDEX.getAndIncrement(), PORT_COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new IllegalStateException(
                "no port between " + FIRST_PORT + " and " + LAST_PORT + " is free");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
